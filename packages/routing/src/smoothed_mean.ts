/** Exponentially smoothed means. */

import {SMOOTHING_WEIGHT} from './constants.js';

/** A mean in which recent samples count more. */
export class SmoothedMean {
  private mean: number | undefined;
  private sampleCount = 0;

  constructor(private readonly weight = SMOOTHING_WEIGHT) {}

  /** Adds a sample; the first ones count as in a plain mean. */
  record(sample: number): void {
    this.sampleCount += 1;
    const weight = Math.max(this.weight, 1 / this.sampleCount);
    this.mean =
      this.mean === undefined
        ? sample
        : this.mean + weight * (sample - this.mean);
  }

  /** The mean, or undefined before the first sample. */
  get(): number | undefined {
    return this.mean;
  }
}

/** Smoothed means by key, with a bound on the number of keys. */
export class SmoothedMeans<K> {
  private readonly means = new Map<K, SmoothedMean>();

  constructor(private readonly maxKeys = 4_096) {}

  /** Adds a sample of a key. */
  record(key: K, sample: number): void {
    let mean = this.means.get(key);
    if (!mean) {
      if (this.means.size >= this.maxKeys) this.means.clear();
      mean = new SmoothedMean();
      this.means.set(key, mean);
    }
    mean.record(sample);
  }

  /** The mean of a key, or undefined before its first sample. */
  get(key: K): number | undefined {
    return this.means.get(key)?.get();
  }
}
