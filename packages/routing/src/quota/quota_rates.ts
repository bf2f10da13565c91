/** Parts of a workspace's limit and validity of permits. */

/** Accuracy with which quotas are enforced. */
export interface QuotaBounds {
  /** Window over which a limit is checked. */
  readonly windowMs: number;
  /** Share of the limit by which a window may exceed it. */
  readonly overage: number;
}

/** Limit of a workspace over the whole mesh. */
export interface WorkspaceLimit {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** What one lender may lend. */
export interface LenderLimits {
  readonly ratePerSecond: number;
  readonly burst: number;
  /**
   * Upper bound of the tokens held and the permits lent, together: the burst and
   * what accrues while permits are valid.
   */
  readonly capacity: number;
}

/** Part of the mesh that a lender lends for. */
export interface LenderPart {
  readonly dataCentreCount: number;
  /** Instances of the data centre, the lender's own included. */
  readonly knownCount: number;
  /** Those of them that the lender reaches, its own included. */
  readonly reachedCount: number;
  /** Time since the process of the lender started. */
  readonly upMs: number;
}

const MS_PER_SECOND = 1_000;
const MIN_VALID_MS = 50;
const MAX_VALID_MS = 500;
/** Share of the window for which permits of an idle workspace are valid. */
const LONG_VALIDITY_SHARE = 0.4;
/**
 * Time after the start of a process in which its lender approaches its rate:
 * several instances take themselves for the lender until their links are open.
 */
export const START_RAMP_MS = 2_000;

/** Returns the validity of permits of a workspace that uses much of its limit. */
export function getValidMs({windowMs, overage}: QuotaBounds): number {
  const validMs = (overage * windowMs) / 2;
  return Math.min(MAX_VALID_MS, Math.max(MIN_VALID_MS, validMs));
}

/** Returns the validity of permits of a workspace that uses little of its limit. */
export function getLongValidMs(bounds: QuotaBounds): number {
  const longMs = LONG_VALIDITY_SHARE * bounds.windowMs;
  return Math.max(getValidMs(bounds), longMs);
}

/** Returns the part of a limit that a lender may lend. */
export function getLenderLimits(
  limit: WorkspaceLimit,
  part: LenderPart,
  validMs: number,
): LenderLimits {
  const {dataCentreCount, knownCount, reachedCount, upMs} = part;
  const reachedShare = Math.min(1, reachedCount / Math.max(1, knownCount));
  const share = reachedShare / Math.max(1, dataCentreCount);
  const ratePerSecond = limit.ratePerSecond * share;
  const inValidity = (ratePerSecond * validMs) / MS_PER_SECOND;
  const burst = limit.burst * share;
  const ramp = Math.min(1, Math.max(0, upMs) / START_RAMP_MS);
  return {
    ratePerSecond: ratePerSecond * ramp,
    burst,
    // Only whole permits are lent, so that less than one would lend nothing.
    capacity: burst + Math.max(1, inValidity),
  };
}
