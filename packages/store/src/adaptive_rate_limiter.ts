/**
 * Client-side rate limiting with additive increase and multiplicative decrease
 * (AIMD): the rate grows while responses are fast and drops when they are slow
 * or missing. Many clients thereby share the capacity of a server without
 * coordination.
 */

import type {CallLimiter} from './call_limiter.js';
import {TokenBucket} from './token_bucket.js';

/** Limits and step sizes of an {@link AdaptiveRateLimiter}. */
export interface AdaptiveRateLimiterOptions {
  readonly minPerSecond: number;
  readonly maxPerSecond: number;
  readonly startPerSecond: number;
  /** Limit on calls in flight; bounds the load before the rate has adapted. */
  readonly maxInFlight: number;
  /** Growth of the rate in one second of fast responses at the full rate. */
  readonly increasePerSecond: number;
  /** Factor by which a decrease multiplies the rate. */
  readonly decreaseFactor: number;
  /** Latency at or above which a response counts as slow. */
  readonly slowAfterMs: number;
  /** Time after a decrease in which slow responses cause no further one. */
  readonly decreaseCooldownMs: number;
}

/** Defaults for a store that responds within milliseconds. */
export const DEFAULT_ADAPTIVE_RATE_LIMITER_OPTIONS: AdaptiveRateLimiterOptions =
  {
    minPerSecond: 0.5,
    maxPerSecond: 100,
    startPerSecond: 50,
    maxInFlight: 2,
    increasePerSecond: 2,
    decreaseFactor: 0.5,
    slowAfterMs: 50,
    decreaseCooldownMs: 500,
  };

/** Burst, in seconds of calls at the current rate. */
const BURST_SECONDS = 2;
/** Minimum burst, in calls. */
const MIN_BURST = 2;

/** Limits calls to a rate that follows the latency of the server. */
export class AdaptiveRateLimiter implements CallLimiter {
  private readonly bucket: TokenBucket;
  private ratePerSecond: number;
  private lastDecreaseMs = 0;
  private inFlightCount = 0;

  constructor(private readonly options: AdaptiveRateLimiterOptions) {
    this.ratePerSecond = options.startPerSecond;
    this.bucket = new TokenBucket(this.getBucketOptions());
  }

  /** Returns the calls per second that are currently admitted. */
  getRatePerSecond(): number {
    return this.ratePerSecond;
  }

  tryAcquire(): boolean {
    if (this.inFlightCount >= this.options.maxInFlight) return false;
    if (!this.bucket.tryAcquire()) return false;
    this.inFlightCount += 1;
    return true;
  }

  recordIgnored(): void {
    this.inFlightCount -= 1;
  }

  recordCompletion(latencyMs: number, hasResponse: boolean): void {
    this.inFlightCount -= 1;
    if (hasResponse && latencyMs < this.options.slowAfterMs) this.increase();
    else this.decrease();
  }

  private increase(): void {
    const {increasePerSecond, maxPerSecond} = this.options;
    const step = increasePerSecond / this.ratePerSecond;
    this.setRate(Math.min(maxPerSecond, this.ratePerSecond + step));
  }

  private decrease(): void {
    const {decreaseFactor, decreaseCooldownMs, minPerSecond} = this.options;
    const nowMs = Date.now();
    if (nowMs - this.lastDecreaseMs < decreaseCooldownMs) return;
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
