/** Sends requests to the local target of this daemon. */

import type {Readable} from 'node:stream';
import {Transform, pipeline} from 'node:stream';
import type {Pool} from 'undici';
import {bufferBody} from './bodies.js';
import {MAX_BUFFERED_RESPONSE_BYTES} from './constants.js';
import type {Deadline} from './deadline.js';
import {isFramed} from './headers.js';
import {isConnectFailure} from './network_errors.js';
import type {NotRunReason, TargetResponse, UnknownReason} from './outcome.js';
import {unknown} from './outcome.js';
import {ConnectionUse, newConnectionPool} from './target_connection.js';

/** A request to be sent to a target. */
export interface TargetRequest {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
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

/** Sends requests over HTTP with a connection pool. */
export class HttpTargetClient implements ProxyTargetClient {
  private readonly pool: Pool;

  constructor(options: TargetClientOptions) {
    this.pool = newConnectionPool(options.origin, options.connections);
  }

  async send(request: TargetRequest): Promise<TargetOutcome> {
    const startedAtMs = performance.now();
    const {deadline} = request;
    const use = new ConnectionUse();
    try {
      const response = await this.pool.request({
        method: request.method,
        path: request.path,
        headers: [...request.headers],
        body: request.body.byteLength > 0 ? request.body : null,
        signal: deadline.cancellation,
        opaque: use,
      });
      const {statusCode, headers} = response;
      const {body, remainingBody} = await bufferBody(
        response.body,
        MAX_BUFFERED_RESPONSE_BYTES,
      );
      if (!isFramed(headers) && use.wasReset()) return unknown('answer-cut');
      return {
        kind: 'answered',
        response: {
          statusCode,
          headers,
          body,
          remainingBody: remainingBody && failOnReset(remainingBody, use),
        },
        targetTimeUs: (performance.now() - startedAtMs) * 1_000,
      };
    } catch (error) {
      return classifyFailure(error, deadline);
    }
  }

  close(): Promise<void> {
    return this.pool.destroy();
  }
}

// The stream of a response without a length also ends when its connection is reset.
function failOnReset(body: Readable, use: ConnectionUse): Readable {
  const checkedBody = new Transform({
    transform: (chunk, _encoding, callback) => callback(null, chunk),
    flush: callback =>
      callback(use.wasReset() ? new Error('connection reset') : null),
  });
  // Errors reach the reader of the checked body.
  return pipeline(body, checkedBody, () => undefined);
}

function classifyFailure(error: unknown, deadline: Deadline): TargetOutcome {
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
