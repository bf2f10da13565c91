/**
 * Choice among targets that report their pace. An entry hears of each of many
 * targets only every few seconds, so the best of all by its figures is often one
 * that others have found as well, or that was fast some time ago. A small random
 * sample keeps entries from meeting at the same target, and keeps the figures of
 * all targets from growing old.
 */

import type {RankingContext, TargetEstimate} from './target_ranking.js';
import {estimateFinishMs, estimateRunMs} from './target_ranking.js';

/** Targets of the own data centre that one request compares. */
const LOCAL_SAMPLE_SIZE = 3;
/** Targets of other data centres that one request compares. */
const REMOTE_SAMPLE_SIZE = 2;

/** Factor on the expected run time that covers nearly all runs. */
const LOCAL_RUN_SPREAD_FACTOR = 2.5;

/** Draws the targets that one request compares. */
export function sampleTargets<T extends {readonly isSameDataCentre: boolean}>(
  targets: readonly T[],
  random: () => number,
): T[] {
  const local = targets.filter(({isSameDataCentre}) => isSameDataCentre);
  const remote = targets.filter(({isSameDataCentre}) => !isSameDataCentre);
  const drawn = draw(local, LOCAL_SAMPLE_SIZE, random);
  const missingCount = LOCAL_SAMPLE_SIZE - drawn.length;
  drawn.push(...draw(remote, REMOTE_SAMPLE_SIZE + missingCount, random));
  return drawn;
}

/**
 * Returns the better of the two best targets: the one with fewer requests of this
 * entry in flight, as its reports lag behind those. Expects the best first.
 */
export function chooseOfTwo<T>(
  ranked: ReadonlyArray<TargetEstimate<T>>,
): TargetEstimate<T> | undefined {
  const [best, second] = ranked;
  if (!best || !second || second.isSuspect) return best;
  return second.inFlight < best.inFlight ? second : best;
}

/**
 * Leaves out the targets of other data centres if the best of the own one is likely
 * to respond within the objective. Expects the best first.
 */
export function keepInDataCentre<T>(
  ranked: ReadonlyArray<TargetEstimate<T>>,
  context: RankingContext,
): ReadonlyArray<TargetEstimate<T>> {
  const local = ranked.filter(({isSameDataCentre}) => isSameDataCentre);
  const [best] = local;
  if (!best || best.isSuspect) return ranked;
  const spreadMs = (LOCAL_RUN_SPREAD_FACTOR - 1) * estimateRunMs(best, context);
  const responseMs = estimateFinishMs(best, context) + spreadMs;
  return responseMs <= context.objectiveMs ? local : ranked;
}

function draw<T>(
  items: readonly T[],
  count: number,
  random: () => number,
): T[] {
  const left = [...items];
  const drawn: T[] = [];
  while (drawn.length < count && left.length > 0) {
    drawn.push(...left.splice(Math.floor(random() * left.length), 1));
  }
  return drawn;
}
