/** Exponentially weighted moving averages (EWMA). */

import {EWMA_WEIGHT} from './constants.js';

/** An average that gives recent samples more weight. */
export class Ewma {
  private average: number | undefined;
  private sampleCount = 0;

  constructor(private readonly weight = EWMA_WEIGHT) {}

  /** Adds a sample; the first few are averaged with equal weight. */
  record(sample: number): void {
    this.sampleCount += 1;
    const weight = Math.max(this.weight, 1 / this.sampleCount);
    this.average =
      this.average === undefined
        ? sample
        : this.average + weight * (sample - this.average);
  }

  /** Returns the average, or undefined before the first sample. */
  get(): number | undefined {
    return this.average;
  }
}

/** Moving averages by key, with a limit on the number of keys. */
export class KeyedEwma<K> {
  private readonly averages = new Map<K, Ewma>();

  constructor(private readonly maxKeys = 4_096) {}

  /** Adds a sample for a key. */
  record(key: K, sample: number): void {
    let average = this.averages.get(key);
    if (!average) {
      if (this.averages.size >= this.maxKeys) this.averages.clear();
      average = new Ewma();
      this.averages.set(key, average);
    }
    average.record(sample);
  }

  /** Returns the average of a key, or undefined before its first sample. */
  get(key: K): number | undefined {
    return this.averages.get(key)?.get();
  }
}
