/** Run times of simulated targets. */

/** Standard deviation of the logarithm of the run time. */
const LOG_SIGMA = 0.5;

/** Draws a log-normal run time with the given mean. */
export function sampleRunMs(
  meanMs: number,
  random: () => number,
  logSigma = LOG_SIGMA,
): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  const normal = radius * Math.cos(2 * Math.PI * random());
  return meanMs * Math.exp(logSigma * normal - logSigma ** 2 / 2);
}
