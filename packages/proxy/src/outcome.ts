/** What became of a request. Outcomes are values; none is thrown. */

import type {Readable} from 'node:stream';
import type {HeaderFields} from './headers.js';

/** Reasons for which a request was certainly not run. */
export const NOT_RUN_REASONS = [
  'not-ready',
  'no-route',
  'no-target',
  'body-too-large',
  'body-incomplete',
  'too-deep',
  'deadline',
  'cancelled',
  'connect-failed',
  'wrong-instance',
  'draining',
  'target-gone',
  'target-shed',
  'queue-full',
  'quarantined',
  'claim-limited',
  'claim-unavailable',
  'claim-key-reused',
] as const;

/** Reasons for which it can't be known whether a request ran. */
export const UNKNOWN_REASONS = [
  'gate-lost',
  'gate-timeout',
  'target-lost',
  'target-timeout',
  'answer-cut',
  'cancelled-late',
  'claim-held',
  'claim-answer-not-kept',
] as const;

/** Why a request was certainly not run. */
export type NotRunReason = (typeof NOT_RUN_REASONS)[number];
/** Why it can't be known whether a request ran. */
export type UnknownReason = (typeof UNKNOWN_REASONS)[number];

/** A target's answer, whole or with a part still to come. */
export interface Answer {
  readonly statusCode: number;
  readonly headers: HeaderFields;
  /** The body, or its first part if `rest` is set. */
  readonly body: Buffer;
  /** The part of a long body that was not held back. */
  readonly rest: Readable | undefined;
}

/** The target answered. */
export interface Answered {
  readonly kind: 'answered';
  readonly answer: Answer;
  /** Time the target took, in microseconds; 0 for a replayed answer. */
  readonly targetTimeUs: number;
}

/** No byte of the request reached a target, or the target shed it. */
export interface NotRun {
  readonly kind: 'not-run';
  readonly reason: NotRunReason;
}

/** The request may have run. */
export interface Unknown {
  readonly kind: 'unknown';
  readonly reason: UnknownReason;
}

/** What became of a request. */
export type Outcome = Answered | NotRun | Unknown;

/** Makes the outcome of a request that was not run. */
export function notRun(reason: NotRunReason): NotRun {
  return {kind: 'not-run', reason};
}

/** Makes the outcome of a request that may have run. */
export function unknown(reason: UnknownReason): Unknown {
  return {kind: 'unknown', reason};
}

/** Whether a header value names a reason for not running. */
export function isNotRunReason(value: unknown): value is NotRunReason {
  return NOT_RUN_REASONS.some(reason => reason === value);
}

/** Whether a header value names a reason for not knowing. */
export function isUnknownReason(value: unknown): value is UnknownReason {
  return UNKNOWN_REASONS.some(reason => reason === value);
}

const NOT_RUN_STATUSES: Readonly<Partial<Record<NotRunReason, number>>> = {
  'no-route': 404,
  'body-too-large': 413,
  'body-incomplete': 400,
  'too-deep': 508,
  'claim-key-reused': 422,
};

/** Returns the HTTP status of an outcome that is not an answer. */
export function getFailureStatus(outcome: NotRun | Unknown): number {
  if (outcome.kind === 'not-run') {
    return NOT_RUN_STATUSES[outcome.reason] ?? 503;
  }
  switch (outcome.reason) {
    case 'gate-timeout':
    case 'target-timeout':
      return 504;
    default:
      return 502;
  }
}
