import type {Clock} from '@sinonjs/fake-timers';
import FakeTimers from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';
import type {QuotaEvent, TestLimit} from './testing/quota_mesh.js';
import {QUOTA_BOUNDS, QuotaMesh, advance} from './testing/quota_mesh.js';

const SEED = 20261207;
const RUN_COUNT = 60;
const WORKSPACE = 'w';
const DATA_CENTRES = 2;
const INSTANCES_PER_DATA_CENTRE = 4;
const SIZE = DATA_CENTRES * INSTANCES_PER_DATA_CENTRE;
/** Longest time until all instances hold a new limit. */
const APPLY_MS = 500;
/** Half of the slack of the deployments, which have ten times as many instances. */
const SLACK = 10;
/** Share of the admitted requests that are refused later, and give back a permit. */
const RELEASED_SHARE = 0.1;

const STEP = fc.oneof(
  fc.record({
    kind: fc.constant('cut' as const),
    sides: fc.array(fc.nat(2), {minLength: SIZE, maxLength: SIZE}),
  }),
  fc.record({kind: fc.constant('heal' as const)}),
  fc.record({
    kind: fc.constant('delay' as const),
    delayMs: fc.constantFrom(0, 20, 200, 1_000),
  }),
  fc.record({
    kind: fc.constant('loss' as const),
    share: fc.constantFrom(0, 0.05, 0.3),
  }),
  fc.record({kind: fc.constant('kill' as const), instance: fc.nat(SIZE - 1)}),
  fc.record({kind: fc.constant('start' as const), instance: fc.nat(SIZE - 1)}),
  fc.record({kind: fc.constant('restart-all' as const)}),
  fc.record({
    kind: fc.constant('limit' as const),
    divisor: fc.constantFrom(1, 3),
  }),
  // Where the requests arrive.
  fc.record({
    kind: fc.constant('move' as const),
    weights: fc.array(fc.nat(3), {minLength: SIZE, maxLength: SIZE}),
  }),
);
const SCRIPT = fc.record({
  steps: fc.array(
    fc.record({
      step: STEP,
      pauseMs: fc.integer({min: 20, max: 2_500}),
      // Demand as a multiple of the limit: permits pile up while it is low.
      factor: fc.constantFrom(0, 0.3, 0.8, 5),
    }),
    {minLength: 6, maxLength: 16},
  ),
  limit: fc.constantFrom(
    {ratePerSecond: 200, burst: 200},
    {ratePerSecond: 200, burst: 0},
    {ratePerSecond: 60, burst: 300},
  ),
});
type Step = typeof STEP extends fc.Arbitrary<infer T> ? T : never;

interface LimitChange {
  readonly limit: TestLimit;
  readonly atMs: number;
}

/** Sends requests while the steps of a script happen. */
class Run {
  private weights: readonly number[] = Array<number>(SIZE).fill(1);
  factor = 0;
  private dueCount = 0;
  private handledCount = 0;
  readonly changes: LimitChange[];
  readonly mesh: QuotaMesh;

  constructor(
    private readonly clock: Clock,
    private readonly limit: TestLimit,
  ) {
    this.changes = [{limit, atMs: 0}];
    this.mesh = new QuotaMesh({
      dataCentreCount: DATA_CENTRES,
      instancesPerDataCentre: INSTANCES_PER_DATA_CENTRE,
      limits: {[WORKSPACE]: limit},
      seed: 1,
    });
    this.mesh.startAll();
  }

  async advance(durationMs: number): Promise<void> {
    await advance(this.clock, this.mesh, durationMs, stepMs => {
      this.sendRequests(stepMs);
      this.releaseSome();
    });
  }

  apply(step: Step): void {
    switch (step.kind) {
      case 'cut':
        this.mesh.cut(step.sides);
        return;
      case 'heal':
        this.mesh.cut([]);
        return;
      case 'delay':
        this.mesh.extraDelayMs = step.delayMs;
        return;
      case 'loss':
        this.mesh.lossShare = step.share;
        return;
      case 'kill':
        this.mesh.kill(step.instance);
        return;
      case 'start':
        this.mesh.start(step.instance);
        return;
      case 'restart-all':
        for (let index = 0; index < SIZE; index += 1) this.mesh.kill(index);
        this.mesh.startAll();
        return;
      case 'limit':
        this.changeLimit(step.divisor);
        return;
      case 'move':
        this.weights = step.weights;
        return;
    }
  }

  private changeLimit(divisor: number): void {
    const limit = {
      ratePerSecond: this.limit.ratePerSecond / divisor,
      burst: this.limit.burst / divisor,
    };
    this.changes.push({limit, atMs: performance.now()});
    this.mesh.setLimits({[WORKSPACE]: limit}, APPLY_MS);
  }

  private sendRequests(stepMs: number): void {
    const {ratePerSecond} = this.limit;
    this.dueCount += (this.factor * ratePerSecond * stepMs) / 1_000;
    const total = this.weights.reduce((sum, weight) => sum + weight, 0);
    for (; this.dueCount >= 1; this.dueCount -= 1) {
      let left = this.mesh.getNextRandom() * total;
      const index = this.weights.findIndex(weight => (left -= weight) < 0);
      if (index >= 0) this.mesh.request(index, WORKSPACE);
    }
  }

  // A request that is refused behind the quota didn't run.
  private releaseSome(): void {
    const {events} = this.mesh;
    for (; this.handledCount < events.length; this.handledCount += 1) {
      const event = events[this.handledCount];
      if (!event?.admission.isAdmitted) continue;
      if (this.mesh.getNextRandom() >= RELEASED_SHARE) continue;
      this.mesh.release(event);
      this.released.add(event);
    }
  }

  readonly released = new Set<QuotaEvent>();

  /** Returns the times at which requests that ran were admitted. */
  listRuns(): number[] {
    return this.mesh.events
      .filter(event => event.admission.isAdmitted && !this.released.has(event))
      .map(event => event.decidedAtMs);
  }
}

/** Returns by how much the fullest window exceeds its bound; negative if none does. */
function getExcess(
  runs: readonly number[],
  changes: readonly LimitChange[],
): {excess: number; atMs: number} {
  const {windowMs, overage} = QUOTA_BOUNDS;
  let worst = {excess: -Infinity, atMs: 0};
  let end = 0;
  for (const [start, atMs] of runs.entries()) {
    while (end < runs.length && (runs[end] ?? 0) <= atMs + windowMs) end += 1;
    const {ratePerSecond, burst} = getLargestLimit(changes, atMs);
    const inWindow = (ratePerSecond * windowMs) / 1_000 + burst;
    const bound = inWindow * (1 + overage) + SLACK;
    const excess = end - start - bound;
    if (excess > worst.excess) worst = {excess, atMs};
  }
  return worst;
}

// A lower limit binds one window after all instances hold it.
function getLargestLimit(
  changes: readonly LimitChange[],
  windowStartMs: number,
): TestLimit {
  const {windowMs} = QUOTA_BOUNDS;
  let largest: TestLimit = {ratePerSecond: 0, burst: 0};
  for (const [index, {limit, atMs}] of changes.entries()) {
    const endMs = (changes[index + 1]?.atMs ?? Infinity) + APPLY_MS + windowMs;
    if (endMs <= windowStartMs || atMs > windowStartMs + windowMs) continue;
    if (limit.ratePerSecond > largest.ratePerSecond) largest = limit;
  }
  return largest;
}

describe('Quotas: bound over the whole mesh', () => {
  // Two lenders for one part of the rate, permits lent twice and limits that were
  // lowered too late let more requests through than the limit allows.
  it('holds through cuts, loss, delay, restarts and changes of the limit', async function () {
    this.timeout(120_000);
    await fc.assert(
      fc.asyncProperty(SCRIPT, async ({steps, limit}) => {
        const clock = FakeTimers.install();
        try {
          const run = new Run(clock, limit);
          await run.advance(3_000);
          for (const {step, pauseMs, factor} of steps) {
            run.apply(step);
            run.factor = factor;
            await run.advance(pauseMs);
          }
          const worst = getExcess(run.listRuns(), run.changes);
          expect(worst.excess, `window at ${worst.atMs}`).to.be.at.most(0);
        } finally {
          clock.uninstall();
        }
      }),
      {seed: SEED, numRuns: RUN_COUNT, endOnFailure: true},
    );
  });
});
