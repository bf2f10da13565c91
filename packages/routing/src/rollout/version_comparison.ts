/** Compares the answers of a new version with those of the old one. */

import type {AnswerSample, VersionSums} from './rollout_evidence.js';

/** Why a version is worse than the old one. */
export type VersionFault = 'failures' | 'run-time';

/** Fewer failures can be those of one target that ends. */
const MIN_FAILURES = 4;
/** Standard errors of a difference; high, since the comparison is repeated often. */
const MIN_FAILURE_SCORE = 4;
const MIN_FAILURE_DIFFERENCE = 0.03;
const MIN_TIMED = 20;
const RUN_TIME_SCORE = 3;
/**
 * Targets of one version differ in speed by 0.5 to 1.6 times, and cold ones run at half
 * speed; bad versions are several times slower.
 */
const MIN_LOG_RUN_RATIO = Math.log(2);

/** Returns the fault of the new version; undefined if none is proved. */
export function findFault(sums: VersionSums): VersionFault | undefined {
  if (failsMore(sums)) return 'failures';
  if (runsLonger(sums)) return 'run-time';
  return undefined;
}

// Both versions fail alike where the cause is not the version, such as a data centre
// that is cut off.
function failsMore({oldAnswers, newAnswers}: VersionSums): boolean {
  const {failedCount, count} = newAnswers;
  if (failedCount < MIN_FAILURES) return false;
  const newRate = failedCount / count;
  const oldRate = (oldAnswers.failedCount + 1) / (oldAnswers.count + 2);
  const observedOldRate = oldAnswers.count === 0 ? 0 : oldRate;
  const difference = newRate - observedOldRate;
  if (difference < MIN_FAILURE_DIFFERENCE) return false;
  const pooled =
    (failedCount + oldAnswers.failedCount + 1) / (count + oldAnswers.count + 2);
  const inverseCounts = 1 / count + 1 / Math.max(1, oldAnswers.count);
  const error = Math.sqrt(pooled * (1 - pooled) * inverseCounts);
  return difference > MIN_FAILURE_SCORE * error;
}

function runsLonger({oldAnswers, newAnswers}: VersionSums): boolean {
  if (oldAnswers.timedCount < MIN_TIMED) return false;
  if (newAnswers.timedCount < MIN_TIMED) return false;
  const ratio = getMean(newAnswers) - getMean(oldAnswers);
  const error = Math.sqrt(
    getMeanVariance(newAnswers) + getMeanVariance(oldAnswers),
  );
  return ratio - RUN_TIME_SCORE * error > MIN_LOG_RUN_RATIO;
}

function getMean({logRunSum, timedCount}: AnswerSample): number {
  return logRunSum / timedCount;
}

function getMeanVariance(sample: AnswerSample): number {
  const {logRunSquareSum, timedCount} = sample;
  const mean = getMean(sample);
  const variance = Math.max(0, logRunSquareSum / timedCount - mean * mean);
  return variance / timedCount;
}
