/** Outcomes of requests. Outcomes are returned, never thrown. */

/** Why a request was not run. */
export type RefusalReason =
  | 'no-configuration'
  | 'no-route'
  | 'unknown-key'
  | 'over-quota'
  | 'version-behind'
  | 'no-target'
  | 'overloaded'
  /** Slower at the moment than the entry expects of other targets. */
  | 'slow'
  /** The workspace exceeds its fair share of a target without free capacity. */
  | 'over-share'
  | 'deadline'
  | 'closed'
  | 'draining'
  | 'target-down'
  | 'wrong-service'
  | 'connect-failed'
  | 'target-refused'
  | 'quarantined'
  | 'link-unverified'
  | 'stopping'
  /** The request does not fit into the memory that is left. */
  | 'no-memory'
  | 'cancelled';

/** Why it is unknown whether a request ran. */
export type LossReason =
  | 'link-lost'
  | 'link-silent'
  | 'target-lost'
  | 'target-silent'
  | 'answer-cut'
  | 'answer-foreign'
  | 'answer-too-large'
  | 'timeout'
  | 'cancelled';

/** The target sent a response. */
export interface AnsweredOutcome {
  readonly kind: 'answered';
  readonly statusCode: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Whether the response declared its length or was chunked. */
  readonly isFramed: boolean;
}

/** The request was not run and will not be run. */
export interface RefusedOutcome {
  readonly kind: 'refused';
  readonly reason: RefusalReason;
  readonly retryAfterMs: number;
}

/** The request may have run. */
export interface LostOutcome {
  readonly kind: 'lost';
  readonly reason: LossReason;
}

/** Outcome of a request. */
export type RelayOutcome = AnsweredOutcome | RefusedOutcome | LostOutcome;

const GATE_REFUSAL_REASONS: readonly RefusalReason[] = [
  'no-target',
  'overloaded',
  'slow',
  'over-share',
  'deadline',
  'closed',
  'draining',
  'target-down',
  'wrong-service',
  'connect-failed',
  'target-refused',
  'quarantined',
  'stopping',
  'no-memory',
];

/**
 * Parses the reason of a refusal. An unknown one is read as `no-target`: it
 * still means that the request was not run.
 */
export function toRefusalReason(text: string): RefusalReason {
  return GATE_REFUSAL_REASONS.find(reason => reason === text) ?? 'no-target';
}

const GATE_LOSS_REASONS: readonly LossReason[] = [
  'target-lost',
  'target-silent',
  'answer-cut',
  'answer-foreign',
  'answer-too-large',
  'timeout',
  'cancelled',
];

/** Parses the reason of a loss; an unknown one is read as `target-lost`. */
export function toLossReason(text: string): LossReason {
  return GATE_LOSS_REASONS.find(reason => reason === text) ?? 'target-lost';
}

/** Creates the outcome of a refused request. */
export function newRefusal(
  reason: RefusalReason,
  retryAfterMs: number,
): RefusedOutcome {
  return {kind: 'refused', reason, retryAfterMs};
}

/** Returns the fields that explain an outcome, for logs and metrics. */
export function describeOutcome(
  outcome: RelayOutcome,
): Readonly<Record<string, string | number>> {
  switch (outcome.kind) {
    case 'answered':
      return {reason: `status-${outcome.statusCode}`};
    case 'refused':
      return {
        reason: outcome.reason,
        retryAfterMs: Math.round(outcome.retryAfterMs),
      };
    case 'lost':
      return {reason: outcome.reason};
  }
}
