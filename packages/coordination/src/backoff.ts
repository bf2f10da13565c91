/** Exponential backoff with decorrelated jitter. */

import type {RandomSource} from './random.js';
import {randomBetween} from './random.js';

export interface BackoffOptions {
  readonly minDelayMs: number;
  readonly maxDelayMs: number;
}

const GROWTH_FACTOR = 3;

/** Increases the delay between attempts up to a maximum. */
export class Backoff {
  private delayMs: number;

  constructor(
    private readonly options: BackoffOptions,
    private readonly random: RandomSource,
  ) {
    this.delayMs = options.minDelayMs;
  }

  /** Returns the delay before the next attempt. */
  next(): number {
    const {minDelayMs, maxDelayMs} = this.options;
    const highMs = Math.min(maxDelayMs, this.delayMs * GROWTH_FACTOR);
    this.delayMs = randomBetween(this.random, minDelayMs, highMs);
    return this.delayMs;
  }

  /** Resets the delay to the minimum after a success. */
  reset(): void {
    this.delayMs = this.options.minDelayMs;
  }
}
