/** Which outcomes of an attempt allow another one. */

import type {LossReason, RelayOutcome} from './outcome.js';

/** Lowest status code of a server error. */
export const MIN_SERVER_ERROR_STATUS = 500;
const GATEWAY_TIMEOUT_STATUS = 504;
const RETRYABLE_LOSSES: ReadonlySet<LossReason> = new Set([
  'link-lost',
  'link-silent',
  'target-lost',
  'target-silent',
  'answer-cut',
  'answer-foreign',
]);

/** Whether a request may be tried again after an outcome. */
export function isRetryable(
  outcome: RelayOutcome,
  isIdempotent: boolean,
): boolean {
  switch (outcome.kind) {
    case 'answered':
      return (
        isIdempotent &&
        outcome.statusCode >= MIN_SERVER_ERROR_STATUS &&
        outcome.statusCode !== GATEWAY_TIMEOUT_STATUS
      );
    case 'refused':
      return outcome.reason === 'target-refused';
    case 'lost':
      return isIdempotent && RETRYABLE_LOSSES.has(outcome.reason);
  }
}
