/** Run times of modelled targets. */

/** Spread of the run times: standard deviation of their logarithm. */
const WORK_SPREAD = 0.5;

/** Draws a log-normal run time with the given mean. */
export function drawWorkMs(meanMs: number, random: () => number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  const normal = radius * Math.cos(2 * Math.PI * random());
  return meanMs * Math.exp(WORK_SPREAD * normal - WORK_SPREAD ** 2 / 2);
}
