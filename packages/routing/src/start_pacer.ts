/** Spaces the starts of jobs at a target that limits its request rate. */

import {MAX_START_BURST_MS} from './constants.js';

const MS_PER_SECOND = 1_000;

/** Allows a number of starts a second, with short bursts. */
export class StartPacer {
  private readonly intervalMs: number;

  constructor(
    readonly startsPerSecond: number,
    /** Time at which the next start is due if starts are evenly spaced. */
    private dueAtMs: number,
  ) {
    this.intervalMs = MS_PER_SECOND / startsPerSecond;
  }

  /** Whether a job may start now. */
  mayStart(nowMs: number): boolean {
    return this.estimateWaitMs(0, nowMs) === 0;
  }

  recordStart(nowMs: number): void {
    this.dueAtMs = Math.max(nowMs, this.dueAtMs) + this.intervalMs;
  }

  /** Returns the wait of a job behind a number of others. */
  estimateWaitMs(aheadCount: number, nowMs: number): number {
    const dueAtMs =
      Math.max(nowMs, this.dueAtMs) + aheadCount * this.intervalMs;
    return Math.max(0, dueAtMs - MAX_START_BURST_MS - nowMs);
  }

  /** Returns a pacer with another rate that takes over the starts so far. */
  withRate(startsPerSecond: number, nowMs: number): StartPacer {
    const intervalMs = MS_PER_SECOND / startsPerSecond;
    const latestDueAtMs = nowMs + MAX_START_BURST_MS + intervalMs;
    return new StartPacer(
      startsPerSecond,
      Math.min(this.dueAtMs, latestDueAtMs),
    );
  }
}
