/**
 * A call rate that adapts to how the callee copes, so that many callers share
 * its capacity without knowing of one another: additive increase while answers
 * are quick, multiplicative decrease when they are slow or missing.
 */

import type {CallLimiter} from './call_limiter.js';
import {TokenBucket} from './token_bucket.js';

/** Bounds and steps of an {@link AdaptiveRate}. */
export interface AdaptiveRateOptions {
  readonly minPerSecond: number;
  readonly maxPerSecond: number;
  readonly startPerSecond: number;
  /** Calls that may be without an answer at once; bounds a cold start. */
  readonly maxInFlight: number;
  /** Growth of the rate in each second in which it is used up. */
  readonly increasePerSecond: number;
  /** Share of the rate that is left after a decrease. */
  readonly decreaseFactor: number;
  /** Latency from which an answer counts as slow. */
  readonly slowAfterMs: number;
  /** Time for which further slow answers don't decrease the rate again. */
  readonly decreaseGapMs: number;
}

/** Steps for a store that answers in milliseconds. */
export const DEFAULT_ADAPTIVE_RATE: AdaptiveRateOptions = {
  minPerSecond: 0.5,
  maxPerSecond: 100,
  startPerSecond: 50,
  maxInFlight: 2,
  increasePerSecond: 2,
  decreaseFactor: 0.5,
  slowAfterMs: 50,
  decreaseGapMs: 500,
};

const BURST_SECONDS = 2;
const MIN_BURST = 2;

/** Limits calls to a rate that follows the callee's answers. */
export class AdaptiveRate implements CallLimiter {
  private readonly bucket: TokenBucket;
  private ratePerSecond: number;
  private lastDecreaseMs = 0;
  private inFlightCount = 0;

  constructor(private readonly options: AdaptiveRateOptions) {
    this.ratePerSecond = options.startPerSecond;
    this.bucket = new TokenBucket(this.getBucketOptions());
  }

  /** Calls per second that are admitted now. */
  getRatePerSecond(): number {
    return this.ratePerSecond;
  }

  tryTake(): boolean {
    if (this.inFlightCount >= this.options.maxInFlight) return false;
    if (!this.bucket.tryTake()) return false;
    this.inFlightCount += 1;
    return true;
  }

  recordUnmeasured(): void {
    this.inFlightCount -= 1;
  }

  recordAnswer(latencyMs: number, isAnswered: boolean): void {
    this.inFlightCount -= 1;
    if (isAnswered && latencyMs < this.options.slowAfterMs) this.increase();
    else this.decrease();
  }

  private increase(): void {
    const {increasePerSecond, maxPerSecond} = this.options;
    const step = increasePerSecond / this.ratePerSecond;
    this.setRate(Math.min(maxPerSecond, this.ratePerSecond + step));
  }

  private decrease(): void {
    const {decreaseFactor, decreaseGapMs, minPerSecond} = this.options;
    const nowMs = Date.now();
    if (nowMs - this.lastDecreaseMs < decreaseGapMs) return;
    this.lastDecreaseMs = nowMs;
    const lowered = this.ratePerSecond * decreaseFactor;
    this.setRate(Math.max(minPerSecond, lowered));
  }

  private setRate(ratePerSecond: number): void {
    this.ratePerSecond = ratePerSecond;
    this.bucket.configure(this.getBucketOptions());
  }

  private getBucketOptions() {
    const {ratePerSecond} = this;
    const burst = Math.max(MIN_BURST, ratePerSecond * BURST_SECONDS);
    return {ratePerSecond, burst};
  }
}
