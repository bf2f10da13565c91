/** Seeded random numbers, so that runs with the same seed behave the same. */

import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Source of uniform random numbers. */
export interface RandomSource {
  /** Returns a number in [0, 1). */
  next(): number;
}

/** Random numbers from a seed. */
export class SeededRandom implements RandomSource {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
    // The first outputs of neighbouring small seeds are alike.
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

/** Returns a random element, or undefined of an empty list. */
export function pickRandom<T>(
  random: RandomSource,
  items: readonly T[],
): T | undefined {
  return items[Math.floor(random.next() * items.length)];
}
