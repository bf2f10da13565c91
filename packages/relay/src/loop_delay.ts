/**
 * Delay of the event loop, measured by a periodic task. While it is late, requests
 * and closed connections wait to be read for about as long, and what has gathered
 * meanwhile is read over several turns.
 */

/** Time for which a delay is still reported after the loop has caught up. */
const RECENT_DELAY_MS = 1_000;

/** Measures the delay of the event loop. */
export class LoopDelay {
  private dueAtMs = Infinity;
  /** Largest recent delay, and when it was measured. */
  private recentDelayMs = 0;
  private recentAtMs = 0;

  constructor(private readonly intervalMs: number) {}

  /** Records a run of the periodic task and returns its delay. */
  recordTick(): number {
    const nowMs = performance.now();
    const delayMs = Math.max(0, nowMs - this.dueAtMs);
    this.dueAtMs = nowMs + this.intervalMs;
    if (delayMs >= this.getRecentDelayMs(nowMs)) {
      this.recentDelayMs = delayMs;
      this.recentAtMs = nowMs;
    }
    return delayMs;
  }

  /** Returns the largest recent delay, that of an overdue task included. */
  getDelayMs(): number {
    const nowMs = performance.now();
    return Math.max(this.getRecentDelayMs(nowMs), nowMs - this.dueAtMs);
  }

  private getRecentDelayMs(nowMs: number): number {
    return nowMs - this.recentAtMs < RECENT_DELAY_MS ? this.recentDelayMs : 0;
  }
}
