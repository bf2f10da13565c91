/** Max-min fair division of a capacity. */

/** Halvings of the interval that holds the level; the error is below 0.01% of it. */
const BISECTION_STEPS = 14;

/**
 * Returns the level up to which each demand is met, so that all together use the
 * capacity. Each gets at least `minPart` of its demand, which must leave room for the
 * level: a `minPart` of all demands may not exceed the capacity. `Infinity` if the
 * capacity covers all demands.
 */
export function computeFairLevel(
  demands: readonly number[],
  capacity: number,
  minPart: number,
): number {
  let sum = 0;
  let highest = 0;
  for (const demand of demands) {
    sum += demand;
    highest = Math.max(highest, demand);
  }
  if (sum <= capacity) return Infinity;
  let low = 0;
  let high = highest;
  for (let step = 0; step < BISECTION_STEPS; step += 1) {
    const level = (low + high) / 2;
    if (sumOfShares(demands, level, minPart) <= capacity) low = level;
    else high = level;
  }
  return low;
}

function sumOfShares(
  demands: readonly number[],
  level: number,
  minPart: number,
): number {
  let sum = 0;
  for (const demand of demands) {
    sum += Math.max(Math.min(demand, level), minPart * demand);
  }
  return sum;
}
