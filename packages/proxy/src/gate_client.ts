/** Sends requests from an entry to gates. */

import {randomUUID} from 'node:crypto';
import {isFramed, newCheckedAgent} from '@cassiaknot/http-client';
import type {InstanceId, ServiceId} from '@cassiaknot/inventory';
import type {GateAddress} from '@cassiaknot/peer-protocol';
import {bufferBody} from './bodies.js';
import {Cancellation} from './cancellation.js';
import {
  CONNECT_TIMEOUT_MS,
  GATE_GRACE_MS,
  MAX_BUFFERED_RESPONSE_BYTES,
} from './constants.js';
import type {Deadline} from './deadline.js';
import {
  CALL_ID_HEADER,
  DEPTH_HEADER,
  INSTANCE_HEADER,
  LOAD_HEADER,
  OUTCOME_HEADER,
  REASON_HEADER,
  RETRY_HEADER,
  SERVICE_HEADER,
  SUSPECT_HEADER,
  TARGET_TIME_HEADER,
  TIMEOUT_HEADER,
  readNumberHeader,
} from './headers.js';
import type {HeaderFields} from './headers.js';
import {isConnectFailure} from './network_errors.js';
import type {ProxyOutcome, TargetResponse} from './outcome.js';
import {isNotRunReason, isUnknownReason, notRun, unknown} from './outcome.js';

/** One attempt to send a request through a gate. */
export interface GateCall {
  readonly instanceId: InstanceId;
  readonly address: GateAddress;
  readonly serviceId: ServiceId;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Alternating names and values of the headers to forward. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Number of calls above this one in a chain of nested calls. */
  readonly depth: number;
  /** Whether this entry, or one earlier in the chain of calls, is retrying. */
  readonly isRetry: boolean;
  /** Whether a target crashed with this request in flight. */
  readonly isSuspect: boolean;
  readonly deadline: Deadline;
}

/** Outcome of a call together with the load that the gate reported. */
export interface GateCallResult {
  readonly outcome: ProxyOutcome;
  /** Requests running and waiting; undefined if the gate did not respond. */
  readonly load: number | undefined;
}

/** Sends requests to gates. */
export interface GateClient {
  call(call: GateCall): Promise<GateCallResult>;
}

const CONNECTIONS_PER_GATE = 64;
/** Idle time after which an entry closes its connection to a gate. */
const IDLE_TIMEOUT_MS = 10_000;
/** Largest accepted values of the headers for load and target time. */
const MAX_LOAD = 1_000_000;
const MAX_TARGET_US = 3_600_000_000;

/**
 * Idle time after which a gate closes a connection. It is longer than
 * {@link IDLE_TIMEOUT_MS}, so that a gate doesn't close a connection that an
 * entry is about to reuse.
 */
export const GATE_IDLE_TIMEOUT_MS = 60_000;

/** Calls gates over HTTP with a connection pool per gate. */
export class HttpGateClient implements GateClient {
  private readonly agent = newCheckedAgent({
    connections: CONNECTIONS_PER_GATE,
    pipelining: 1,
    connect: {timeout: CONNECT_TIMEOUT_MS},
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  async call(call: GateCall): Promise<GateCallResult> {
    const remainingMs = call.deadline.getRemainingMs();
    if (remainingMs <= 0) return {outcome: notRun('deadline'), load: undefined};
    const cancellation = new Cancellation();
    const timer = setTimeout(
      () => cancellation.abort(),
      remainingMs + GATE_GRACE_MS,
    );
    const handleAbort = () => {
      if (call.deadline.getAbortReason() === 'cancelled') cancellation.abort();
    };
    call.deadline.cancellation.once('abort', handleAbort);
    try {
      return await this.sendRequest(call, remainingMs, cancellation);
    } catch (error) {
      const outcome = classifyFailure(error, call, cancellation.aborted);
      return {outcome, load: undefined};
    } finally {
      clearTimeout(timer);
      call.deadline.cancellation.off('abort', handleAbort);
    }
  }

  /** Closes all connections; calls in flight fail. */
  close(): Promise<void> {
    return this.agent.destroy();
  }

  private async sendRequest(
    call: GateCall,
    remainingMs: number,
    signal: Cancellation,
  ): Promise<GateCallResult> {
    const callId = randomUUID();
    const response = await this.agent.request({
      origin: `http://${call.address}`,
      method: call.method,
      path: call.path,
      headers: newGateHeaders(call, callId, remainingMs),
      body: call.body.byteLength > 0 ? call.body : null,
      signal,
    });
    const {statusCode, headers} = response;
    const buffered = await bufferBody(
      response.body,
      MAX_BUFFERED_RESPONSE_BYTES,
    );
    // Gates frame all bodies; without a length, a cut response looks complete.
    const isUnframed = hasBody(call.method, statusCode) && !isFramed(headers);
    if (isUnframed || isOfAnotherCall(headers, callId)) {
      buffered.remainingBody?.destroy();
      return {outcome: unknown('gate-lost'), load: undefined};
    }
    const outcome = readOutcome({statusCode, headers, ...buffered});
    return {outcome, load: readNumberHeader(headers[LOAD_HEADER], 0, MAX_LOAD)};
  }
}

function newGateHeaders(
  call: GateCall,
  callId: string,
  remainingMs: number,
): string[] {
  const headers = [
    ...call.headers,
    CALL_ID_HEADER,
    callId,
    INSTANCE_HEADER,
    call.instanceId,
    SERVICE_HEADER,
    call.serviceId,
    TIMEOUT_HEADER,
    String(Math.ceil(remainingMs)),
    DEPTH_HEADER,
    String(call.depth),
  ];
  if (call.isRetry) headers.push(RETRY_HEADER, '1');
  if (call.isSuspect) headers.push(SUSPECT_HEADER, '1');
  return headers;
}

// Gates of versions before the header don't echo it.
function isOfAnotherCall(headers: HeaderFields, callId: string): boolean {
  const echoedId = headers[CALL_ID_HEADER];
  return echoedId !== undefined && echoedId !== callId;
}

function hasBody(method: string, statusCode: number): boolean {
  return method !== 'HEAD' && statusCode !== 204 && statusCode !== 304;
}

function readOutcome(response: TargetResponse): ProxyOutcome {
  const {headers} = response;
  const reason = headers[REASON_HEADER];
  switch (headers[OUTCOME_HEADER]) {
    case 'answered':
      return {
        kind: 'answered',
        response,
        targetTimeUs: readTargetTime(headers),
      };
    case 'not-run':
      return isNotRunReason(reason) ? notRun(reason) : unknown('gate-lost');
    case 'unknown':
      return unknown(isUnknownReason(reason) ? reason : 'gate-lost');
    default:
      return unknown('gate-lost');
  }
}

function readTargetTime(headers: HeaderFields): number {
  return readNumberHeader(headers[TARGET_TIME_HEADER], 0, MAX_TARGET_US) ?? 0;
}

function classifyFailure(
  error: unknown,
  call: GateCall,
  isTimedOut: boolean,
): ProxyOutcome {
  if (isConnectFailure(error)) return notRun('connect-failed');
  if (call.deadline.getAbortReason() === 'cancelled') {
    return unknown('cancelled-late');
  }
  return unknown(isTimedOut ? 'gate-timeout' : 'gate-lost');
}
