/** Writes the responses to callers' requests. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import type {CallerConnection} from './caller_connection.js';
import {
  UNAUTHORIZED_STATUS,
  describeRefusal,
  formatRefusal,
} from './caller_messages.js';
import {PROCESS_MEMORY} from './held_memory.js';
import type {AnsweredOutcome, LostOutcome, RefusedOutcome} from './outcome.js';
import {writeBody} from './response_body.js';

/** Retry-After of a request that did not fit into the memory. */
export const MEMORY_RETRY_AFTER_MS = 1_000;
const MS_PER_SECOND = 1_000;
/** Response to a request that is refused before it is read. */
export const MEMORY_REFUSAL = formatRefusal(
  MEMORY_RETRY_AFTER_MS / MS_PER_SECOND,
);
/** Time for which a closed connection is still read. */
const LINGER_TIMEOUT_MS = 1_000;

/** A request that is being served. */
export interface CallerExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly connection: CallerConnection;
  readonly receivedAtMs: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/**
 * Writes the answer of a target. One without a length is passed on without one: the
 * target may have cut it off, and a length would mark it as complete.
 */
export function writeAnswer(
  {request, response}: CallerExchange,
  method: string,
  outcome: AnsweredOutcome,
  closes: boolean,
): void {
  const {statusCode, body} = outcome;
  const headers = [...outcome.headers];
  if (!outcome.isFramed) {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  } else if (method !== 'HEAD') {
    headers.push('Content-Length', String(body.byteLength));
  }
  if (closes) headers.push('Connection', 'close');
  response.writeHead(statusCode, headers);
  if (method === 'HEAD') response.end();
  else writeBody(response, request.socket, body, PROCESS_MEMORY);
}

/** How a request without an answer is responded to. */
export interface FailureOptions {
  /** Whether the response closes the connection. */
  readonly closes: boolean;
  /** Challenge of a response to a request without a known key. */
  readonly challenge: string;
}

/** Writes the response to a request that has no answer. */
export function writeFailure(
  response: ServerResponse,
  outcome: RefusedOutcome | LostOutcome,
  {closes, challenge}: FailureOptions,
): void {
  if (closes) response.setHeader('Connection', 'close');
  switch (outcome.kind) {
    case 'refused': {
      const {statusCode, isLasting} = describeRefusal(outcome.reason);
      response.statusCode = statusCode;
      if (statusCode === UNAUTHORIZED_STATUS) {
        response.setHeader('WWW-Authenticate', challenge);
      }
      if (!isLasting) {
        const seconds = outcome.retryAfterMs / MS_PER_SECOND;
        response.setHeader('Retry-After', seconds.toFixed(3));
      }
      response.end();
      return;
    }
    case 'lost':
      response.statusCode = outcome.reason === 'timeout' ? 504 : 502;
      response.end();
      return;
  }
}

/**
 * Keeps reading after the last response until the peer has closed its side. A
 * connection that is closed while bytes arrive is reset, and what the peer has not
 * received yet is lost.
 */
export function closeAfterPeer(socket: Socket): void {
  socket.destroySoon = () => {
    if (socket.writable) socket.end();
    const timer = setTimeout(() => socket.destroy(), LINGER_TIMEOUT_MS);
    socket.once('close', () => clearTimeout(timer));
  };
}

/** Waits for a complete poll for I/O; the first callback runs after the current one. */
export async function pollSockets(): Promise<void> {
  await setImmediate();
  await setImmediate();
}
