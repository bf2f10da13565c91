/** Ranks targets by expected finish time. */

import {
  FAILURE_PENALTY_FACTOR,
  LATE_LOCAL_PENALTY_SHARE,
  PACED_REMOTE_PENALTY_SHARE,
  REMOTE_PENALTY_SHARE,
  RUN_SPREAD_FACTOR,
  WAIT_REPORT_HALF_LIFE_MS,
  WARM_UP_RUN_TIME_FACTOR,
} from './constants.js';
import {agePace} from './pace.js';

/** Pace of a target as last reported. */
export interface PaceReport {
  readonly pace: number;
  readonly ageMs: number;
}

/** Load estimate of one target, as seen by an entry. */
export interface TargetEstimate<T> {
  readonly target: T;
  /** Whether the target is in the same data centre. */
  readonly isSameDataCentre: boolean;
  /** Whether the link to the target has an overdue ping. */
  readonly isSuspect: boolean;
  readonly slots: number;
  /**
   * Expected run time, at the usual pace if the target reports its pace; undefined
   * if the target has not run this route yet.
   */
  readonly runMs: number | undefined;
  /** Latest pace of the target; undefined if it reports none. */
  readonly pace?: PaceReport | undefined;
  /** Latest wait reported by the target. */
  readonly reportedWaitMs: number;
  /** Age of that report. */
  readonly reportAgeMs: number;
  /** Requests of this entry that have no reply yet. */
  readonly inFlight: number;
  readonly isWarmingUp: boolean;
  /** Moving average of the share of failed runs, 0 to 1. */
  readonly failureRate: number;
}

/** Parameters of a ranking. */
export interface RankingContext {
  /** Run time assumed for targets that have not run the route yet. */
  readonly meanRunMs: number;
  readonly objectiveMs: number;
  /** Mean of the service, if its targets report their pace. */
  readonly meanPace?: number | undefined;
  readonly meanWaitMs?: number | undefined;
}

/** Estimates the time until a request would finish at a target. */
export function estimateFinishMs<T>(
  estimate: TargetEstimate<T>,
  context: RankingContext,
): number {
  const runMs = estimateRunMs(estimate, context);
  const decay = Math.pow(0.5, estimate.reportAgeMs / WAIT_REPORT_HALF_LIFE_MS);
  const inFlightMs = (estimate.inFlight * runMs) / Math.max(1, estimate.slots);
  const meanWaitMs = context.meanWaitMs ?? 0;
  const waitMs = meanWaitMs + decay * (estimate.reportedWaitMs - meanWaitMs);
  return runMs + waitMs + inFlightMs;
}

/**
 * Sorts targets by expected finish time plus penalties. Traffic between data
 * centres is expensive, so a target in another one has to finish earlier by a
 * share of the objective. That share is larger if the target in the same data
 * centre is likely to meet the objective. A target that fails often is ranked
 * lower, but still gets requests while its peers are slower than it by more than
 * the penalty. A target behind a suspect link is ranked last.
 */
export function rankTargets<T>(
  estimates: ReadonlyArray<TargetEstimate<T>>,
  context: RankingContext,
): Array<TargetEstimate<T>> {
  const {objectiveMs} = context;
  const costs = new Map<TargetEstimate<T>, number>();
  for (const estimate of estimates) {
    const localityMs = getLocalityPenaltyShare(estimate, context) * objectiveMs;
    const failureMs =
      estimate.failureRate * FAILURE_PENALTY_FACTOR * objectiveMs;
    const suspectMs = estimate.isSuspect ? 1_000 * objectiveMs : 0;
    const finishMs = estimateFinishMs(estimate, context);
    costs.set(estimate, finishMs + localityMs + failureMs + suspectMs);
  }
  return [...estimates].sort(
    (left, right) => (costs.get(left) ?? 0) - (costs.get(right) ?? 0),
  );
}

/** Estimates the run time of a request at a target. */
export function estimateRunMs<T>(
  estimate: TargetEstimate<T>,
  context: RankingContext,
): number {
  const {runMs, isWarmingUp} = estimate;
  const warmUpFactor = isWarmingUp ? WARM_UP_RUN_TIME_FACTOR : 1;
  if (runMs === undefined) return warmUpFactor * context.meanRunMs;
  // The reported pace may include the warm-up.
  return runMs * Math.max(warmUpFactor, estimatePace(estimate, context));
}

// An old report says little of a pace that changes many times a second.
function estimatePace<T>(
  {pace: report}: TargetEstimate<T>,
  {meanPace}: RankingContext,
): number {
  if (!report) return 1;
  return agePace(report.pace, meanPace ?? report.pace, report.ageMs);
}

// Penalty for the location of a target, as a share of the objective.
function getLocalityPenaltyShare<T>(
  estimate: TargetEstimate<T>,
  context: RankingContext,
): number {
  if (!estimate.isSameDataCentre) {
    return context.meanPace === undefined
      ? REMOTE_PENALTY_SHARE
      : PACED_REMOTE_PENALTY_SHARE;
  }
  const spreadMs = (RUN_SPREAD_FACTOR - 1) * estimateRunMs(estimate, context);
  const meetsObjective =
    estimateFinishMs(estimate, context) + spreadMs <= context.objectiveMs;
  return meetsObjective ? 0 : LATE_LOCAL_PENALTY_SHARE;
}
