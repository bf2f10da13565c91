/**
 * Steps of a roll-out. The new version gets a small share for most of the time, and all
 * requests only shortly before the deadline: a version can become bad at any time, and
 * must not have got more than a tenth of the requests by then.
 */

/** One step: a share of the requests, within fractions of the duration. */
export interface RolloutStep {
  readonly share: number;
  /** Earliest begin of the next step. */
  readonly endFraction: number;
  /** Answers of the new version that the next step requires, if time allows. */
  readonly requiredAnswers: number;
}

/** The shares add up to 0.084 of the requests at a constant rate. */
export const ROLLOUT_STEPS: readonly RolloutStep[] = [
  {share: 0.01, endFraction: 0.1, requiredAnswers: 10},
  {share: 0.02, endFraction: 0.6, requiredAnswers: 30},
  {share: 0.04, endFraction: 0.9, requiredAnswers: 50},
  {share: 0.25, endFraction: 0.925, requiredAnswers: 50},
  {share: 0.5, endFraction: 0.945, requiredAnswers: 100},
  {share: 1, endFraction: 0.985, requiredAnswers: 0},
];

/** From here on steps don't wait for answers: the deadline comes first. */
export const LATEST_WAIT_FRACTION = 0.92;
