/** Time after which a refused caller should come back. */

import {MIN_RETRY_AFTER_MS} from './constants.js';

/** What is known of a refused request. */
export interface RefusedNeed {
  /** Time after which capacity is expected. */
  readonly waitMs: number;
  /** Time left until the deadline of the caller. */
  readonly remainingMs: number;
  /** Longest timeout of a request on this route. */
  readonly timeoutMs: number;
  /** Expected run time. */
  readonly runMs: number;
  /** Random number from 0 to 1. */
  readonly random: number;
}

/**
 * Returns a time not before the expected wait is over. Callers are spread over as long
 * again, the oldest requests first; a request that could still be served in time is
 * asked to come back early enough for that.
 */
export function planReturnMs(need: RefusedNeed): number {
  const {waitMs, remainingMs, timeoutMs, runMs, random} = need;
  const leftPart = timeoutMs > 0 ? remainingMs / timeoutMs : 0;
  const position = random * Math.min(1, Math.max(0, leftPart));
  const slackMs = remainingMs - runMs - waitMs;
  const spreadMs = slackMs > 0 ? Math.min(waitMs, slackMs) : waitMs;
  return Math.max(MIN_RETRY_AFTER_MS, waitMs) + position * spreadMs;
}
