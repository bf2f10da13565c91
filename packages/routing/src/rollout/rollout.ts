/**
 * Decides how much traffic of a service goes to the targets of a new version, until the
 * roll-out is completed or rolled back. Pure: time and answers in, share out.
 */

import type {RouteReport, VersionSums} from './rollout_evidence.js';
import {RolloutEvidence} from './rollout_evidence.js';
import {LATEST_WAIT_FRACTION, ROLLOUT_STEPS} from './rollout_steps.js';
import type {VersionFault} from './version_comparison.js';
import {findFault} from './version_comparison.js';

/** Limits of what a bad version may get. */
export interface ExposureBounds {
  /** Share of all requests of the service between the order and the deadline. */
  readonly share: number;
  /** Requests beyond the share. */
  readonly slack: number;
}

/** The request of the operator. */
export interface RolloutOrder {
  readonly version: string;
  readonly durationMs: number;
}

/** State of a roll-out that a later decider takes over. */
export interface RolloutProgress {
  readonly elapsedMs: number;
  readonly step: number;
  /** Answers since the order. */
  readonly newCount: number;
  readonly totalCount: number;
}

/** Why a roll-out was rolled back. */
export type RollbackReason = VersionFault | 'no-targets';

/** What is in force from now on. */
export type RolloutDecision =
  | {
      readonly state: 'running';
      readonly share: number;
      readonly step: number;
    }
  | {readonly state: 'completed'; readonly share: 1}
  | {
      readonly state: 'rolled-back';
      readonly share: 0;
      readonly reason: RollbackReason;
      /** Route on which the fault was found, if any. */
      readonly routeId?: string;
    };

/** What the decider knows at one time. */
export interface RolloutInput {
  /** Answers since the last call. */
  readonly reports: readonly RouteReport[];
  /** Slots of the targets of each version that accept requests. */
  readonly oldSlots: number;
  readonly newSlots: number;
}

const NEW_ROLLOUT: RolloutProgress = {
  elapsedMs: 0,
  step: 0,
  newCount: 0,
  totalCount: 0,
};
/** Time from a decision until its share is in force and its answers are known. */
const REACTION_MS = 1_000;
/** Part of the slack that is used; the rest covers requests in flight. */
const USED_SLACK = 0.5;
/** Part of the expected requests that counts: demand may fall by half. */
const FORECAST_WEIGHT = 0.75;
/** Part of the slots of the old version that suffices to carry all requests. */
const MIN_SLOT_RATIO = 0.5;

/** One roll-out of one service. */
export class Rollout {
  private readonly evidence = new RolloutEvidence();
  private readonly startedAtMs: number;
  private step: number;
  private stepNewCount: number;
  private end: Exclude<RolloutDecision, {state: 'running'}> | undefined;

  constructor(
    private readonly order: RolloutOrder,
    private readonly bounds: ExposureBounds,
    nowMs: number,
    private readonly earlier: RolloutProgress = NEW_ROLLOUT,
  ) {
    this.startedAtMs = nowMs - earlier.elapsedMs;
    this.step = Math.min(earlier.step, ROLLOUT_STEPS.length - 1);
    this.stepNewCount = earlier.newCount;
  }

  /** Decides anew; once completed or rolled back, the decision stays. */
  decide(input: RolloutInput, nowMs: number): RolloutDecision {
    if (this.end) return this.end;
    this.evidence.record(input.reports, nowMs);
    const fault = this.findFault();
    if (fault) return this.finish({state: 'rolled-back', share: 0, ...fault});
    const elapsedFraction = this.getElapsedMs(nowMs) / this.order.durationMs;
    const last = ROLLOUT_STEPS.at(-1);
    if (last && elapsedFraction >= last.endFraction) {
      return input.newSlots === 0
        ? this.finish({state: 'rolled-back', share: 0, reason: 'no-targets'})
        : this.finish({state: 'completed', share: 1});
    }
    this.advance(elapsedFraction);
    const share = Math.min(
      ROLLOUT_STEPS[this.step]?.share ?? 0,
      this.getBudgetShare(nowMs),
      getSlotShare(input),
    );
    return {state: 'running', share, step: this.step};
  }

  /** What another decider needs to take over. */
  getProgress(nowMs: number): RolloutProgress {
    return {
      elapsedMs: this.getElapsedMs(nowMs),
      step: this.step,
      newCount: this.getNewCount(),
      totalCount: this.getTotalCount(),
    };
  }

  private finish(
    decision: Exclude<RolloutDecision, {state: 'running'}>,
  ): RolloutDecision {
    this.end = decision;
    return decision;
  }

  // A step at a time, so that each has been seen under its load.
  private advance(elapsedFraction: number): void {
    const step = ROLLOUT_STEPS[this.step];
    if (!step || this.step === ROLLOUT_STEPS.length - 1) return;
    if (elapsedFraction < step.endFraction) return;
    const answerCount = this.getNewCount() - this.stepNewCount;
    const mayWait = elapsedFraction < LATEST_WAIT_FRACTION;
    if (mayWait && answerCount < step.requiredAnswers) return;
    this.step += 1;
    this.stepNewCount = this.getNewCount();
  }

  private findFault():
    {readonly reason: VersionFault; readonly routeId?: string} | undefined {
    const views: ReadonlyArray<ReadonlyMap<string, VersionSums>> = [
      this.evidence.getRecentByRoute(),
      this.evidence.getByRoute(),
    ];
    for (const sumsByRoute of views) {
      for (const [routeId, sums] of sumsByRoute) {
        const reason = findFault(sums);
        if (reason) return {reason, routeId};
      }
    }
    // Run times of different routes can't be compared, failures can.
    const reason = findFault(this.evidence.getTotal());
    return reason === 'failures' ? {reason} : undefined;
  }

  // The largest share that stays within the exposure bound until the next decisions.
  private getBudgetShare(nowMs: number): number {
    const elapsedMs = Math.max(1, this.getElapsedMs(nowMs));
    const totalCount = this.getTotalCount();
    const ratePerMs = totalCount / elapsedMs;
    const remainingMs = Math.max(0, this.order.durationMs - elapsedMs);
    const expected = totalCount + FORECAST_WEIGHT * ratePerMs * remainingMs;
    const {share, slack} = this.bounds;
    const budget = share * expected + USED_SLACK * slack - this.getNewCount();
    const nextCount = Math.max(1, ratePerMs * REACTION_MS);
    return Math.min(1, Math.max(0, budget / nextCount));
  }

  private getNewCount(): number {
    return this.earlier.newCount + this.evidence.getTotal().newAnswers.count;
  }

  private getTotalCount(): number {
    const {oldAnswers, newAnswers} = this.evidence.getTotal();
    return this.earlier.totalCount + oldAnswers.count + newAnswers.count;
  }

  private getElapsedMs(nowMs: number): number {
    return nowMs - this.startedAtMs;
  }
}

// Few targets of the new version get no more than they can serve.
function getSlotShare({oldSlots, newSlots}: RolloutInput): number {
  if (newSlots === 0) return 0;
  return Math.min(1, newSlots / Math.max(1, oldSlots * MIN_SLOT_RATIO));
}
