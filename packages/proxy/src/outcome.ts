/** Outcomes of requests. Outcomes are returned as values, never thrown. */

import type {Readable} from 'node:stream';
import type {HeaderFields} from './headers.js';

/** Reasons for which a request was certainly not executed. */
export const NOT_RUN_REASONS = [
  /** The entry's daemon is not ready to route requests. */
  'not-ready',
  /** No routing rule matches the request. */
  'no-route',
  /** No instance in the service's data centres serves it. */
  'no-target',
  /** The request body exceeds the size limit. */
  'body-too-large',
  /** The request body was not received completely. */
  'body-incomplete',
  /** The chain of nested calls is too long. */
  'too-deep',
  /** The deadline passed before sending, or would pass in the queue. */
  'deadline',
  /** The caller disconnected before the request was sent to the target. */
  'cancelled',
  /** Connecting to the gate or the target failed. */
  'connect-failed',
  /** The gate is of another instance, or its target of another service. */
  'wrong-instance',
  /** The target was withdrawn or replaced, or its daemon is stopping. */
  'draining',
  /** The gate has no target, or lost it before sending the request. */
  'target-gone',
  /** The target responded with a status by which its service sheds load. */
  'target-shed',
  /** The queue of the target is full. */
  'queue-full',
  /** Identical requests have crashed targets. */
  'quarantined',
  /** The claim's store calls were rate-limited. */
  'claim-limited',
  /** The claim could not be written to the store. */
  'claim-unavailable',
  /** The idempotency key was used for a different request. */
  'claim-key-reused',
] as const;

/** Reasons for which it is unknown whether a request was executed. */
export const UNKNOWN_REASONS = [
  /** The connection to the gate was lost, or its response was invalid. */
  'gate-lost',
  /** The gate did not report an outcome in time. */
  'gate-timeout',
  /** The connection to the target was lost before its response was received. */
  'target-lost',
  /** The target did not respond before the deadline. */
  'target-timeout',
  'answer-cut',
  /** The response was not known to belong to the request. */
  'answer-foreign',
  /** The caller disconnected after the request may have been sent. */
  'cancelled-late',
  /** It is not known how an earlier request with this key ended. */
  'claim-held',
  /** The request was executed, but its response was not stored. */
  'claim-answer-not-kept',
] as const;

export type NotRunReason = (typeof NOT_RUN_REASONS)[number];
export type UnknownReason = (typeof UNKNOWN_REASONS)[number];

/** A target's response, buffered whole or with a body still streaming. */
export interface TargetResponse {
  readonly statusCode: number;
  readonly headers: HeaderFields;
  /** The body, or its first part if `remainingBody` is set. */
  readonly body: Buffer;
  /** The part of a large body that is streamed instead of buffered. */
  readonly remainingBody: Readable | undefined;
}

/** The target responded. */
export interface Answered {
  readonly kind: 'answered';
  readonly response: TargetResponse;
  /** Target response time in microseconds; 0 for a replayed response. */
  readonly targetTimeUs: number;
}

/**
 * No byte of the request reached a target, or the target refused the request with
 * one of the statuses by which its service sheds load.
 */
export interface NotRun {
  readonly kind: 'not-run';
  readonly reason: NotRunReason;
}

/** The request may have been executed. */
export interface Unknown {
  readonly kind: 'unknown';
  readonly reason: UnknownReason;
}

/** Outcome of a request. */
export type ProxyOutcome = Answered | NotRun | Unknown;

/** Creates the outcome of a request that was not executed. */
export function notRun(reason: NotRunReason): NotRun {
  return {kind: 'not-run', reason};
}

/** Creates the outcome of a request that may have been executed. */
export function unknown(reason: UnknownReason): Unknown {
  return {kind: 'unknown', reason};
}

/** Whether a header value is a {@link NotRunReason}. */
export function isNotRunReason(value: unknown): value is NotRunReason {
  return NOT_RUN_REASONS.some(reason => reason === value);
}

/** Whether a header value is an {@link UnknownReason}. */
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

/** Returns the HTTP status of an outcome without a target response. */
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
