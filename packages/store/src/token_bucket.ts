/** Token bucket based on the system clock. */

import type {CallLimiter} from './call_limiter.js';

/** Limits of a {@link TokenBucket}. */
export interface TokenBucketOptions {
  /** Tokens added per second. */
  readonly ratePerSecond: number;
  /** Maximum number of tokens in the bucket. */
  readonly burst: number;
}

/** Admits calls at a limited rate, with bursts of up to `burst` calls. */
export class TokenBucket implements CallLimiter {
  private tokens: number;
  private lastRefillMs: number = Date.now();

  constructor(private options: TokenBucketOptions) {
    this.tokens = options.burst;
  }

  /** Takes `count` tokens if as many are available. */
  tryAcquire(count = 1): boolean {
    this.refill();
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }

  /** Does nothing: the rate is fixed. */
  recordCompletion(): void {
    return;
  }

  /** Does nothing: calls in flight are not counted. */
  recordIgnored(): void {
    return;
  }

  /** Returns the time until a token is available; 0 if one already is. */
  getWaitMs(): number {
    this.refill();
    if (this.tokens >= 1) return 0;
    return Math.ceil(((1 - this.tokens) / this.options.ratePerSecond) * 1_000);
  }

  /** Changes rate and burst; available tokens are kept up to the new burst. */
  configure(options: TokenBucketOptions): void {
    this.refill();
    this.options = options;
    this.tokens = Math.min(this.tokens, options.burst);
  }

  private refill(): void {
    const nowMs = Date.now();
    const elapsedMs = Math.max(0, nowMs - this.lastRefillMs);
    this.lastRefillMs = nowMs;
    const addedTokens = (elapsedMs / 1_000) * this.options.ratePerSecond;
    this.tokens = Math.min(this.options.burst, this.tokens + addedTokens);
  }
}
