/** Rate-limits joins and spreads out the retries of those refused. */

import {TokenBucket} from '@cassiaknot/store';
import type {TokenBucketOptions} from '@cassiaknot/store';
import type {RandomSource} from './random.js';
import {randomBetween} from './random.js';

/** Whether a join may proceed, or when it should be retried. */
export type Admission =
  | {readonly kind: 'admitted'}
  | {readonly kind: 'refused'; readonly retryAfterMs: number};

/** Time after which the count of refusals starts again. */
const REFUSAL_WINDOW_MS = 2_000;
const ADMITTED: Admission = {kind: 'admitted'};

/** Increases the retry delay with the number of recent refusals. */
export class AdmissionLimiter {
  private readonly bucket: TokenBucket;
  private refusedCount = 0;
  private refusedSinceMs = 0;

  constructor(
    private readonly options: TokenBucketOptions,
    private readonly random: RandomSource,
  ) {
    this.bucket = new TokenBucket(options);
  }

  /** Admits or refuses one join. */
  admit(): Admission {
    if (this.bucket.tryAcquire()) return ADMITTED;
    const nowMs = performance.now();
    if (nowMs - this.refusedSinceMs > REFUSAL_WINDOW_MS) {
      this.refusedSinceMs = nowMs;
      this.refusedCount = 0;
    }
    this.refusedCount += 1;
    const backlogMs = (this.refusedCount / this.options.ratePerSecond) * 1_000;
    const minRetryAfterMs = this.bucket.getWaitMs();
    const retryAfterMs = randomBetween(
      this.random,
      minRetryAfterMs,
      minRetryAfterMs + backlogMs,
    );
    return {kind: 'refused', retryAfterMs: Math.ceil(retryAfterMs)};
  }
}
