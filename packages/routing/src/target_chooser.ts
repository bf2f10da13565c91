/** Chooses the target with the least expected finish. */

import {
  COLD_FACTOR,
  FAILURE_PENALTY_OBJECTIVES,
  REMOTE_PENALTY_SHARE,
  REPORT_HALF_LIFE_MS,
  UNSAFE_LOCAL_PENALTY_SHARE,
  WORK_SPREAD_FACTOR,
} from './constants.js';

/** What an entry knows of one target. */
export interface TargetEstimate<T> {
  readonly target: T;
  readonly isLocal: boolean;
  /** Whether the target lies behind a link that does not answer now. */
  readonly isSuspect: boolean;
  readonly slots: number;
  /** Expected run time; undefined if it has not run this route yet. */
  readonly runMs: number | undefined;
  /** Wait that the target last reported. */
  readonly reportedWaitMs: number;
  /** Age of that report. */
  readonly reportAgeMs: number;
  /** Requests that this entry has sent since and that are not answered. */
  readonly unreported: number;
  readonly isCold: boolean;
  /** Smoothed share of failed runs, 0 to 1. */
  readonly failureShare: number;
}

/** What a choice is made for. */
export interface ChoiceContext {
  /** Run time where a target has none of its own. */
  readonly usualRunMs: number;
  readonly objectiveMs: number;
}

/** Expected finish of a request at a target. */
export function estimateFinishMs<T>(
  estimate: TargetEstimate<T>,
  context: ChoiceContext,
): number {
  const runMs = estimateRunMs(estimate, context);
  const fade = Math.pow(0.5, estimate.reportAgeMs / REPORT_HALF_LIFE_MS);
  const ownMs = (estimate.unreported * runMs) / Math.max(1, estimate.slots);
  return runMs + estimate.reportedWaitMs * fade + ownMs;
}

/**
 * Orders targets by expected finish. Another data centre has to save a part of
 * the objective, since the way there is dear, and a larger part where a target
 * of the own one answers in time all the same; a target that fails often is
 * pushed back but keeps getting requests while its peers are slower still.
 */
export function rankTargets<T>(
  estimates: ReadonlyArray<TargetEstimate<T>>,
  context: ChoiceContext,
): Array<TargetEstimate<T>> {
  const {objectiveMs} = context;
  const costs = new Map<TargetEstimate<T>, number>();
  for (const estimate of estimates) {
    const wayMs = estimateWayShare(estimate, context) * objectiveMs;
    const failureMs =
      estimate.failureShare * FAILURE_PENALTY_OBJECTIVES * objectiveMs;
    const suspectMs = estimate.isSuspect ? 1_000 * objectiveMs : 0;
    const finishMs = estimateFinishMs(estimate, context);
    costs.set(estimate, finishMs + wayMs + failureMs + suspectMs);
  }
  return [...estimates].sort(
    (left, right) => (costs.get(left) ?? 0) - (costs.get(right) ?? 0),
  );
}

function estimateRunMs<T>(
  estimate: TargetEstimate<T>,
  context: ChoiceContext,
): number {
  const runMs = estimate.runMs ?? context.usualRunMs;
  return estimate.isCold ? COLD_FACTOR * runMs : runMs;
}

// Part of the objective that the place of a target counts for.
function estimateWayShare<T>(
  estimate: TargetEstimate<T>,
  context: ChoiceContext,
): number {
  if (!estimate.isLocal) return REMOTE_PENALTY_SHARE;
  const spreadMs = (WORK_SPREAD_FACTOR - 1) * estimateRunMs(estimate, context);
  const isSafe =
    estimateFinishMs(estimate, context) + spreadMs <= context.objectiveMs;
  return isSafe ? 0 : UNSAFE_LOCAL_PENALTY_SHARE;
}
