/** Sends requests to the one target beside this daemon. */

import type {Answer, NotRunReason, UnknownReason} from './outcome.js';
import {Pool} from 'undici';
import {holdBody} from './bodies.js';
import {CONNECT_TIMEOUT_MS, MAX_HELD_ANSWER_BYTES} from './constants.js';
import type {Deadline} from './deadline.js';
import {isCertainConnectError} from './network_errors.js';

/** A request as it is sent to a target. */
export interface TargetRequest {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly deadline: Deadline;
}

/** What became of a request sent to a target. */
export type TargetOutcome =
  | {
      readonly kind: 'answered';
      readonly answer: Answer;
      readonly targetTimeUs: number;
    }
  | {readonly kind: 'not-run'; readonly reason: NotRunReason}
  | {readonly kind: 'unknown'; readonly reason: UnknownReason};

/** Sends requests to a target. */
export interface TargetClient {
  send(request: TargetRequest): Promise<TargetOutcome>;
  /** Ends all connections at once. */
  close(): Promise<void>;
}

/** Where a target listens and how many connections it takes. */
export interface TargetClientOptions {
  /** `http://host:port`. */
  readonly origin: string;
  readonly connections: number;
}

/** Speaks HTTP to a target over a pool of connections. */
export class HttpTargetClient implements TargetClient {
  private readonly pool: Pool;

  constructor(options: TargetClientOptions) {
    this.pool = new Pool(options.origin, {
      connections: options.connections,
      pipelining: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS},
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  async send(request: TargetRequest): Promise<TargetOutcome> {
    const startedAtMs = performance.now();
    const {deadline} = request;
    try {
      const response = await this.pool.request({
        method: request.method,
        path: request.path,
        headers: [...request.headers],
        body: request.body.byteLength > 0 ? request.body : null,
        signal: deadline.cancellation,
      });
      const held = await holdBody(response.body, MAX_HELD_ANSWER_BYTES);
      const targetTimeUs = (performance.now() - startedAtMs) * 1_000;
      const {statusCode, headers} = response;
      return {
        kind: 'answered',
        answer: {statusCode, headers, ...held},
        targetTimeUs,
      };
    } catch (error) {
      return classifyFailure(error, deadline);
    }
  }

  close(): Promise<void> {
    return this.pool.destroy();
  }
}

function classifyFailure(error: unknown, deadline: Deadline): TargetOutcome {
  if (isCertainConnectError(error)) {
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
