/** Seeded random numbers, so that runs with the same seed are reproducible. */

import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Source of uniform random numbers. */
export interface RandomSource {
  /** Returns a number in [0, 1). */
  next(): number;
}

export class SeededRandom implements RandomSource {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
    // The first outputs of small consecutive seeds are correlated.
    for (let skipped = 0; skipped < 8; skipped += 1) this.next();
  }

  next(): number {
    return uniformFloat64(this.generator);
  }
}

/** Returns a number in [low, high). */
export function randomBetween(
  random: RandomSource,
  low: number,
  high: number,
): number {
  return low + random.next() * (high - low);
}

/** Returns a random element, or undefined if the list is empty. */
export function pickRandom<T>(
  random: RandomSource,
  items: readonly T[],
): T | undefined {
  return items[Math.floor(random.next() * items.length)];
}
