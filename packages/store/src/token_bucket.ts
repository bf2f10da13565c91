/** Token bucket on the runtime's clock. */

import type {CallLimiter} from './call_limiter.js';

/** Size and refill rate of a {@link TokenBucket}. */
export interface TokenBucketOptions {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Admits events at a bounded rate, with bursts up to a bound. */
export class TokenBucket implements CallLimiter {
  private tokens: number;
  private updatedAtMs: number = Date.now();

  constructor(private options: TokenBucketOptions) {
    this.tokens = options.burst;
  }

  /** Takes `count` tokens if there are that many. */
  tryTake(count = 1): boolean {
    this.refill();
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }

  /** A fixed rate learns nothing from answers. */
  recordAnswer(): void {
    return;
  }

  /** A fixed rate does not count calls in flight. */
  recordUnmeasured(): void {
    return;
  }

  /** Returns the time until one token is there, 0 if there is one now. */
  getWaitMs(): number {
    this.refill();
    if (this.tokens >= 1) return 0;
    return Math.ceil(((1 - this.tokens) / this.options.ratePerSecond) * 1_000);
  }

  /** Changes rate and burst; tokens at hand are kept up to the new burst. */
  configure(options: TokenBucketOptions): void {
    this.refill();
    this.options = options;
    this.tokens = Math.min(this.tokens, options.burst);
  }

  private refill(): void {
    const nowMs = Date.now();
    const elapsedMs = Math.max(0, nowMs - this.updatedAtMs);
    this.updatedAtMs = nowMs;
    const earned = (elapsedMs / 1_000) * this.options.ratePerSecond;
    this.tokens = Math.min(this.options.burst, this.tokens + earned);
  }
}
