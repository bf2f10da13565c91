import type {Clock} from '@sinonjs/fake-timers';
import FakeTimers from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {AdaptiveRate, DEFAULT_ADAPTIVE_RATE} from './adaptive_rate.js';

const CAPACITY_PER_SECOND = 300;
const STEP_MS = 10;
const QUICK_MS = 2;

/** A callee that serves a bounded number of calls and queues the rest. */
class FakeCallee {
  private freeAtMs = 0;

  call(): number {
    const nowMs = Date.now();
    const startMs = Math.max(nowMs, this.freeAtMs);
    this.freeAtMs = startMs + 1_000 / CAPACITY_PER_SECOND;
    return startMs - nowMs + QUICK_MS;
  }

  getBacklogMs(): number {
    return Math.max(0, this.freeAtMs - Date.now());
  }
}

describe('AdaptiveRate', () => {
  let clock: Clock & {uninstall(): void};

  beforeEach(() => {
    clock = FakeTimers.install();
  });

  afterEach(() => {
    clock.uninstall();
  });

  /** Lets callers take all they may; returns the calls of each. */
  function run(
    callee: FakeCallee,
    rates: readonly AdaptiveRate[],
    durationMs: number,
  ): number[] {
    const counts = rates.map(() => 0);
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      for (const [index, rate] of rates.entries()) {
        if (!rate.tryTake()) continue;
        counts[index] = (counts[index] ?? 0) + 1;
        const latencyMs = callee.call();
        setTimeout(() => rate.recordAnswer(latencyMs, true), latencyMs);
      }
      clock.tick(STEP_MS);
    }
    return counts;
  }

  function newRates(count: number): AdaptiveRate[] {
    return Array.from(
      {length: count},
      () => new AdaptiveRate(DEFAULT_ADAPTIVE_RATE),
    );
  }

  it('gives a few busy callers most of the capacity', () => {
    const counts = run(new FakeCallee(), newRates(6), 60_000);
    const total = counts.reduce((sum, count) => sum + count, 0);
    expect(total / 60).to.be.above(CAPACITY_PER_SECOND / 2);
  });

  it('keeps the backlog bounded when many callers are busy', () => {
    const callee = new FakeCallee();
    const rates = newRates(200);
    run(callee, rates, 30_000);
    let worstMs = 0;
    for (let round = 0; round < 30; round += 1) {
      run(callee, rates, 1_000);
      worstMs = Math.max(worstMs, callee.getBacklogMs());
    }
    expect(worstMs).to.be.below(1_000);
  });

  it('shares the capacity so that no busy caller is left out', () => {
    const callee = new FakeCallee();
    const rates = newRates(20);
    run(callee, rates, 30_000);
    const counts = run(callee, rates, 60_000);
    const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
    expect(Math.min(...counts)).to.be.above(mean / 3);
  });

  it('backs off while nothing answers and recovers after', () => {
    const rate = new AdaptiveRate(DEFAULT_ADAPTIVE_RATE);
    for (let failure = 0; failure < 20; failure += 1) {
      rate.tryTake();
      rate.recordAnswer(1_000, false);
      clock.tick(1_000);
    }
    expect(rate.getRatePerSecond()).to.equal(
      DEFAULT_ADAPTIVE_RATE.minPerSecond,
    );
    run(new FakeCallee(), [rate], 60_000);
    expect(rate.getRatePerSecond()).to.be.above(
      DEFAULT_ADAPTIVE_RATE.startPerSecond,
    );
  });
});
