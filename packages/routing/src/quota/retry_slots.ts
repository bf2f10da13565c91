/** Times at which refused callers of one workspace are told to come back. */

/** What a refusal knows of the workspace. */
export interface RetryOutlook {
  /** Time from which on a permit is likely. */
  readonly roomAtMs: number;
  /** Requests per second that are likely to be admitted here. */
  readonly ratePerSecond: number;
  /** In [0, 1). */
  readonly random: number;
}

const MS_PER_SECOND = 1_000;
/** Spread of the times around their slot. */
const JITTER_SHARE = 0.5;
const MIN_RETRY_AFTER_MS = 30;
/** Later slots don't tell callers apart any more. */
const MAX_RETRY_AFTER_MS = 5_000;

/**
 * Gives each refused caller a slot of its own, at the rate at which requests are
 * admitted: the further demand is above the limit, the later the slots.
 */
export class RetrySlots {
  private nextSlotMs = -Infinity;

  /** Returns the time after which one caller should come back. */
  next(outlook: RetryOutlook, nowMs: number): number {
    const {roomAtMs, ratePerSecond, random} = outlook;
    const slotMs = Math.max(nowMs, roomAtMs, this.nextSlotMs);
    const latestMs = nowMs + MAX_RETRY_AFTER_MS;
    const intervalMs = MS_PER_SECOND / Math.max(ratePerSecond, 1e-6);
    this.nextSlotMs = Math.min(latestMs, slotMs + intervalMs);
    const waitMs = Math.min(slotMs, latestMs) - nowMs;
    const jitter = 1 + JITTER_SHARE * (random - 0.5);
    const spreadMs = Math.min(intervalMs, MAX_RETRY_AFTER_MS) * random;
    return Math.min(
      MAX_RETRY_AFTER_MS,
      Math.max(MIN_RETRY_AFTER_MS, waitMs * jitter + spreadMs),
    );
  }
}
