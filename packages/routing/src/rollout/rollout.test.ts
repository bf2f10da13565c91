import {expect} from 'chai';
import fc from 'fast-check';
import type {RolloutDecision} from './rollout.js';
import {Rollout} from './rollout.js';
import type {AnswerSample, RouteReport} from './rollout_evidence.js';
import {NO_ANSWERS, addSamples, newAnswerSample} from './rollout_evidence.js';

const DURATION_MS = 60_000;
const TICK_MS = 250;
/** Time until a share is in force at the entries, in ticks. */
const DELAY_TICKS = 2;
const BOUNDS = {share: 0.1, slack: 50};
const ROLLBACK_MS = 5_000;
const BAD_ANSWERS = 50;
/** Bad answers that can be too few to prove a fault at low rates. */
const FEW_BAD_ANSWERS = 20;
/** Demand moves by half above and below the mean. */
const WAVE = 0.5;
const WAVE_PERIOD_MS = 15_000;
const DROP_FACTOR = 0.25;
const PROPERTY_SEED = 20_261_207;
const PROPERTY_RUNS = 120;
const ROUTES = [
  {routeId: 'lookup', weight: 0.8, runMs: 330},
  {routeId: 'payout', weight: 0.2, runMs: 433},
];

/** When and how the new version is bad. */
interface Fault {
  readonly fromMs: number;
  /** Share of the requests at which it is bad, and below which it is not. */
  readonly fromShare: number;
  readonly routeId?: string;
  readonly failureRate: number;
  readonly slowdown: number;
}

interface Scenario {
  readonly ratePerSecond: number;
  readonly seed: number;
  readonly fault?: Fault;
  /** Rate of failures that don't depend on the version. */
  readonly commonFailureRate?: number;
  readonly newSlots?: number;
  /** When the demand drops. */
  readonly dropMs?: number;
  /** When another decider takes over. */
  readonly takeoverMs?: number;
}

interface Outcome {
  readonly last: RolloutDecision;
  readonly endedAtMs: number;
  readonly newCount: number;
  readonly totalCount: number;
  /** Time of the last request to the new version, and of its 50th bad answer. */
  readonly lastNewAtMs: number;
  readonly badAtMs: number;
  /** Bad answers until the end of the roll-out. */
  readonly endBadCount: number;
}

/** Deterministic generator (mulberry32). */
function newRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** Load of a service in waves, answered by two versions. */
class Simulation {
  newCount = 0;
  totalCount = 0;
  lastNewAtMs = 0;
  badAtMs = Infinity;
  badCount = 0;
  private readonly random: () => number;

  constructor(private readonly scenario: Scenario) {
    this.random = newRandom(scenario.seed);
  }

  answerAll(share: number, nowMs: number): RouteReport[] {
    const {ratePerSecond, dropMs = Infinity} = this.scenario;
    const wave = 1 + WAVE * Math.sin((2 * Math.PI * nowMs) / WAVE_PERIOD_MS);
    const dropFactor = nowMs >= dropMs ? DROP_FACTOR : 1;
    const tickCount = (ratePerSecond * wave * dropFactor * TICK_MS) / 1_000;
    return ROUTES.map(({routeId, weight, runMs}) => {
      let oldAnswers: AnswerSample = NO_ANSWERS;
      let newAnswers: AnswerSample = NO_ANSWERS;
      const count = Math.round(tickCount * weight);
      for (let index = 0; index < count; index += 1) {
        const isNew = this.random() < share;
        const isBad = isNew && this.isBad(routeId, share, nowMs);
        const sample = this.answer(runMs, isBad);
        this.totalCount += 1;
        if (isNew) newAnswers = addSamples(newAnswers, sample);
        else oldAnswers = addSamples(oldAnswers, sample);
        if (isNew) this.countNew(sample, isBad, nowMs);
      }
      return {routeId, oldAnswers, newAnswers};
    });
  }

  private isBad(routeId: string, share: number, nowMs: number): boolean {
    const {fault} = this.scenario;
    if (!fault || nowMs < fault.fromMs || share < fault.fromShare) return false;
    return fault.routeId === undefined || fault.routeId === routeId;
  }

  private answer(runMs: number, isBad: boolean): AnswerSample {
    const {fault, commonFailureRate = 0.002} = this.scenario;
    const failureRate = isBad && fault ? fault.failureRate : commonFailureRate;
    if (this.random() < failureRate) return newAnswerSample(undefined);
    const slowdown = isBad && fault ? fault.slowdown : 1;
    const spread = Math.exp(this.random() + this.random() - 1);
    return newAnswerSample(runMs * slowdown * spread);
  }

  private countNew(sample: AnswerSample, isBad: boolean, nowMs: number): void {
    this.newCount += 1;
    this.lastNewAtMs = nowMs;
    const isSlow = (this.scenario.fault?.slowdown ?? 1) > 1;
    if (!isBad || (sample.failedCount === 0 && !isSlow)) return;
    this.badCount += 1;
    if (this.badCount === BAD_ANSWERS) this.badAtMs = nowMs;
  }
}

function simulate(scenario: Scenario): Outcome {
  const {newSlots = 100, takeoverMs = Infinity} = scenario;
  const order = {version: 'b', durationMs: DURATION_MS};
  const simulation = new Simulation(scenario);
  let rollout = new Rollout(order, BOUNDS, 0);
  const shares: number[] = Array<number>(DELAY_TICKS).fill(0);
  let reports: RouteReport[] = [];
  let last: RolloutDecision = {state: 'running', share: 0, step: 0};
  let endedAtMs = Infinity;
  let endBadCount = 0;
  let isTakenOver = false;
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += TICK_MS) {
    if (nowMs >= takeoverMs && !isTakenOver) {
      isTakenOver = true;
      const progress = rollout.getProgress(nowMs);
      rollout = new Rollout(order, BOUNDS, nowMs, progress);
    }
    last = rollout.decide({reports, oldSlots: 100, newSlots}, nowMs);
    if (last.state !== 'running' && endedAtMs === Infinity) {
      endedAtMs = nowMs;
      endBadCount = simulation.badCount;
    }
    shares.push(last.share);
    reports = simulation.answerAll(shares.shift() ?? 0, nowMs);
  }
  const {newCount, totalCount, lastNewAtMs, badAtMs} = simulation;
  return {
    last,
    endedAtMs,
    newCount,
    totalCount,
    lastNewAtMs,
    badAtMs,
    endBadCount,
  };
}

function expectBounded(outcome: Outcome): void {
  const {newCount, totalCount, lastNewAtMs, badAtMs, last} = outcome;
  expect(last.state).to.equal('rolled-back');
  const allowed = BOUNDS.share * totalCount + BOUNDS.slack;
  expect(newCount).to.be.at.most(allowed);
  expect(lastNewAtMs).to.be.at.most(badAtMs + ROLLBACK_MS);
}

const ALWAYS: Fault = {
  fromMs: 0,
  fromShare: 0,
  failureRate: 0.3,
  slowdown: 1,
};

describe('Roll-out', () => {
  // A good version that is not completed by the deadline breaks the promise to the
  // operator.
  it('completes a good version before the deadline', () => {
    for (const ratePerSecond of [20, 100, 700]) {
      const outcome = simulate({ratePerSecond, seed: 1});
      expect(outcome.last.state).to.equal('completed');
      expect(outcome.endedAtMs).to.be.lessThan(DURATION_MS);
    }
  });

  // Guards against requests to a version that fails part of them.
  it('rolls a version back that fails from the start', () => {
    expectBounded(simulate({ratePerSecond: 700, seed: 2, fault: ALWAYS}));
  });

  // Sums since the order would hide that a version has become bad.
  it('rolls a version back that fails later', () => {
    const fault = {...ALWAYS, fromMs: 40_000};
    expectBounded(simulate({ratePerSecond: 700, seed: 3, fault}));
  });

  it('rolls a version back that fails under load only', () => {
    const fault = {...ALWAYS, fromShare: 0.25};
    expectBounded(simulate({ratePerSecond: 700, seed: 4, fault}));
  });

  // The bound counts the requests that come, not those that were expected.
  it('stays within the bound when the demand drops', () => {
    const fault = {...ALWAYS, fromMs: 56_000};
    for (const dropMs of [20_000, 40_000, 56_000]) {
      const scenario = {ratePerSecond: 700, seed: 12, fault, dropMs};
      expectBounded(simulate(scenario));
    }
  });

  // The other route would hide the failures in a sum over all routes.
  it('rolls a version back that fails on one route', () => {
    const fault = {...ALWAYS, routeId: 'payout'};
    const outcome = simulate({ratePerSecond: 300, seed: 5, fault});
    expectBounded(outcome);
    const {last} = outcome;
    expect(last.state === 'rolled-back' && last.routeId).to.equal('payout');
  });

  it('rolls a version back that is several times slower', () => {
    const fault = {...ALWAYS, failureRate: 0.002, slowdown: 4};
    const outcome = simulate({ratePerSecond: 300, seed: 6, fault});
    expectBounded(outcome);
    const {last} = outcome;
    expect(last.state === 'rolled-back' && last.reason).to.equal('run-time');
  });

  // A cut link or a full data centre fails requests of both versions.
  it('keeps a version while both fail alike', () => {
    const outcome = simulate({
      ratePerSecond: 300,
      seed: 7,
      commonFailureRate: 0.3,
    });
    expect(outcome.last.state).to.equal('completed');
  });

  // Targets differ in speed, and cold ones run at half of it.
  it('keeps a version whose targets are somewhat slower', () => {
    const fault = {...ALWAYS, failureRate: 0.002, slowdown: 1.6};
    const outcome = simulate({ratePerSecond: 300, seed: 8, fault});
    expect(outcome.last.state).to.equal('completed');
  });

  it('rolls back at the deadline if there is no target of the version', () => {
    const {last, newCount} = simulate({
      ratePerSecond: 100,
      seed: 9,
      newSlots: 0,
    });
    expect(last).to.deep.include({state: 'rolled-back', reason: 'no-targets'});
    expect(newCount).to.equal(0);
  });

  // A decider that starts anew would repeat the steps and miss the deadline.
  it('goes on where an earlier decider has ended', () => {
    const outcome = simulate({
      ratePerSecond: 300,
      seed: 10,
      takeoverMs: 50_000,
    });
    expect(outcome.last.state).to.equal('completed');
    const fault = {...ALWAYS, fromMs: 51_000};
    const ratePerSecond = 300;
    const scenario = {ratePerSecond, seed: 11, takeoverMs: 50_000, fault};
    expectBounded(simulate(scenario));
  });

  it('decides once', () => {
    const rollout = new Rollout({version: 'b', durationMs: 100}, BOUNDS, 0);
    const input = {reports: [], oldSlots: 1, newSlots: 1};
    expect(rollout.decide(input, 99).state).to.equal('completed');
    const answers = {...NO_ANSWERS, count: 100, failedCount: 100};
    const report = {routeId: 'r', oldAnswers: NO_ANSWERS, newAnswers: answers};
    const late = rollout.decide({...input, reports: [report]}, 100);
    expect(late.state).to.equal('completed');
  });

  // Steps alone bound the exposure at a constant rate only.
  it('sends no more to the new version than the bound leaves', () => {
    const order = {version: 'b', durationMs: DURATION_MS};
    const input = {reports: [], oldSlots: 1, newSlots: 1};
    const progress = {elapsedMs: 57_000, step: 5, totalCount: 4_000};
    const shares = [300, 400, 500].map(newCount => {
      const rollout = new Rollout(order, BOUNDS, 0, {...progress, newCount});
      return rollout.decide(input, 0).share;
    });
    expect(shares[0]).to.equal(1);
    expect(shares[1]).to.be.within(0.3, 0.7);
    expect(shares[2]).to.equal(0);
  });

  // Any kind of bad version, at any rate and time, stays within its bounds. One that
  // gave few bad answers, because it got few requests, may have been completed.
  it('bounds what any bad version gets', () => {
    const scenario = fc.record({
      seed: fc.integer({min: 1, max: 1_000_000}),
      ratePerSecond: fc.integer({min: 50, max: 900}),
      fault: fc.record({
        fromMs: fc.integer({min: 0, max: 55_000}),
        fromShare: fc.constantFrom(0, 0, 0.04, 0.25),
        failureRate: fc.constantFrom(0.1, 0.3, 1),
        slowdown: fc.constantFrom(1, 4),
      }),
    });
    fc.assert(
      fc.property(scenario, example => {
        const outcome = simulate(example);
        if (outcome.last.state === 'rolled-back') expectBounded(outcome);
        else expect(outcome.endBadCount).to.be.lessThan(FEW_BAD_ANSWERS);
      }),
      {seed: PROPERTY_SEED, numRuns: PROPERTY_RUNS},
    );
  }).timeout(60_000);
});
