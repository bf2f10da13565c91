/** Sends requests to the local target of this daemon. */

import {randomUUID} from 'node:crypto';
import {
  InvalidResponseError,
  TruncatedResponseError,
} from '@cassiaknot/http-client';
import type {Pool} from 'undici';
import {bufferBody} from './bodies.js';
import {MAX_BUFFERED_RESPONSE_BYTES} from './constants.js';
import type {Deadline} from './deadline.js';
import type {HeaderFields} from './headers.js';
import {CALL_ID_HEADER} from './headers.js';
import {isConnectFailure} from './network_errors.js';
import type {NotRunReason, TargetResponse, UnknownReason} from './outcome.js';
import {notRun, unknown} from './outcome.js';
import {ConnectionUse, newConnectionPool} from './target_connection.js';

/** A request to be sent to a target. */
export interface TargetRequest {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Statuses by which the target refuses a request without running it. */
  readonly refusalStatuses: readonly number[];
  readonly deadline: Deadline;
}

/** Outcome of a request sent to a target. */
export type TargetOutcome =
  | {
      readonly kind: 'answered';
      readonly response: TargetResponse;
      readonly targetTimeUs: number;
    }
  | {readonly kind: 'not-run'; readonly reason: NotRunReason}
  | {readonly kind: 'unknown'; readonly reason: UnknownReason};

/** Sends requests to a target. */
export interface ProxyTargetClient {
  send(request: TargetRequest): Promise<TargetOutcome>;
  /** Closes all connections at once; requests in flight fail. */
  close(): Promise<void>;
}

/** Address and connection limit of a target. */
export interface TargetClientOptions {
  /** `http://host:port`. */
  readonly origin: string;
  readonly connections: number;
}

const US_PER_MS = 1_000;

/** Sends requests over HTTP with a connection pool. */
export class HttpTargetClient implements ProxyTargetClient {
  private readonly pool: Pool;

  constructor(options: TargetClientOptions) {
    this.pool = newConnectionPool(options.origin, options.connections);
  }

  async send(request: TargetRequest): Promise<TargetOutcome> {
    try {
      return await this.exchange(request);
    } catch (error) {
      return classifyFailure(error, request.deadline);
    }
  }

  close(): Promise<void> {
    return this.pool.destroy();
  }

  private async exchange(request: TargetRequest): Promise<TargetOutcome> {
    const startedAtMs = performance.now();
    const callId = randomUUID();
    const use = new ConnectionUse();
    const response = await this.pool.request({
      method: request.method,
      path: request.path,
      headers: [...request.headers, CALL_ID_HEADER, callId],
      body: request.body.byteLength > 0 ? request.body : null,
      signal: request.deadline.cancellation,
      opaque: use,
    });
    const {statusCode, headers} = response;
    const isRefusal = request.refusalStatuses.includes(statusCode);
    const owner = findOwner(headers, callId);
    if (owner === 'another' || (isRefusal && owner === 'unnamed')) {
      use.endConnection();
    }
    const {body, remainingBody} = await bufferBody(
      response.body,
      MAX_BUFFERED_RESPONSE_BYTES,
    );
    if (owner === 'another' || isRefusal) {
      remainingBody?.destroy();
      return classifyRefusal(owner, use);
    }
    return {
      kind: 'answered',
      response: {
        statusCode,
        headers,
        body,
        remainingBody,
      },
      targetTimeUs: (performance.now() - startedAtMs) * US_PER_MS,
    };
  }
}

/** Request to which a response belongs by the id that it echoes. */
type ResponseOwner = 'this' | 'another' | 'unnamed';

function findOwner(headers: HeaderFields, callId: string): ResponseOwner {
  const echoedId = headers[CALL_ID_HEADER];
  if (echoedId === undefined) return 'unnamed';
  return echoedId === callId ? 'this' : 'another';
}

// A faulty target may write an earlier refusal again while it runs the next request
// of the connection. Nothing precedes the first response on a connection.
function classifyRefusal(
  owner: ResponseOwner,
  use: ConnectionUse,
): TargetOutcome {
  const isOwn =
    owner === 'this' || (owner === 'unnamed' && use.isFirstOnConnection());
  return isOwn ? notRun('target-shed') : unknown('answer-foreign');
}

function classifyFailure(error: unknown, deadline: Deadline): TargetOutcome {
  if (error instanceof InvalidResponseError) return unknown('answer-foreign');
  if (error instanceof TruncatedResponseError) return unknown('answer-cut');
  if (isConnectFailure(error)) {
    return {kind: 'not-run', reason: 'connect-failed'};
  }
  switch (deadline.getAbortReason()) {
    case 'deadline':
      return {kind: 'unknown', reason: 'target-timeout'};
    case 'cancelled':
      return {kind: 'unknown', reason: 'cancelled-late'};
    case undefined:
      return {kind: 'unknown', reason: 'target-lost'};
  }
}
