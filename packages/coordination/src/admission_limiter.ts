/** Admits joins and syncs at a bounded rate and spreads out the rest. */

import {TokenBucket} from '@cassiaknot/store';
import type {TokenBucketOptions} from '@cassiaknot/store';
import type {RandomSource} from './random.js';
import {randomBetween} from './random.js';

/** Whether an arrival may proceed, or when it should return. */
export type Admission =
  | {readonly kind: 'admitted'}
  | {readonly kind: 'refused'; readonly retryAfterMs: number};

const REFUSAL_MEMORY_MS = 2_000;
const ADMITTED: Admission = {kind: 'admitted'};

/** Tells refused arrivals to return later the more of them there are. */
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

  /** Admits or refuses one arrival. */
  admit(): Admission {
    if (this.bucket.tryTake()) return ADMITTED;
    const nowMs = performance.now();
    if (nowMs - this.refusedSinceMs > REFUSAL_MEMORY_MS) {
      this.refusedSinceMs = nowMs;
      this.refusedCount = 0;
    }
    this.refusedCount += 1;
    const backlogMs = (this.refusedCount / this.options.ratePerSecond) * 1_000;
    const lowMs = this.bucket.getWaitMs();
    const retryAfterMs = randomBetween(this.random, lowMs, lowMs + backlogMs);
    return {kind: 'refused', retryAfterMs: Math.ceil(retryAfterMs)};
  }
}
