import {SeededRandom} from '@cassiaknot/coordination';
import {expect} from 'chai';
import {ConcurrencyLimit} from './concurrency_limit.js';
import {sampleRunMs} from './testing/sample_run_time.js';

const SLOTS = 6;
const RUN_INTERVAL_MS = 15;
const SEED = 20261207;

describe('ConcurrencyLimit', () => {
  let limit: ConcurrencyLimit;
  let random: SeededRandom;
  let nowMs: number;

  beforeEach(() => {
    limit = new ConcurrencyLimit(SLOTS);
    random = new SeededRandom(SEED);
    nowMs = 0;
  });

  // Runs at all levels up to the limit, with noise; returns the limits seen.
  function run(ratioAt: (concurrency: number) => number, count: number): void {
    for (let index = 0; index < count; index += 1) {
      nowMs += RUN_INTERVAL_MS;
      const concurrency = 1 + Math.floor(random.next() * limit.get());
      const ratio = sampleRunMs(ratioAt(concurrency), () => random.next());
      limit.recordRun(ratio, concurrency, nowMs);
    }
  }

  // A limit below the slots after a restart of the gate would refuse requests that
  // the target could run.
  it('starts at the number of slots and follows it', () => {
    expect(limit.get()).to.equal(SLOTS);
    limit.setSlots(9);
    expect(limit.get()).to.equal(9);
    limit.setSlots(2);
    expect(limit.get()).to.equal(2);
  });

  it('stays at the slots of a target that many requests do not slow down', () => {
    run(() => 1, 2_000);
    expect(limit.get()).to.be.at.least(SLOTS - 1);
  });

  // A target that is slow with many requests makes all of them late.
  it('shrinks while many requests slow the target down, and grows after that', () => {
    run(concurrency => (concurrency > 2 ? concurrency - 1 : 1), 1_000);
    expect(limit.get()).to.be.below(SLOTS);
    run(() => 1, 1_000);
    expect(limit.get()).to.be.at.least(SLOTS - 1);
  });

  // A slow nested call would otherwise take capacity from a target that is not the
  // cause.
  it('does not shrink when runs at all levels become slower', () => {
    run(() => 1, 500);
    run(() => 3, 500);
    expect(limit.get()).to.be.at.least(SLOTS - 1);
  });

  it('changes nothing for one long run', () => {
    run(() => 1, 100);
    const before = limit.get();
    limit.recordRun(1_000, before, nowMs + 1);
    expect(limit.get()).to.equal(before);
  });
});
