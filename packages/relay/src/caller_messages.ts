/** Reads the headers and bodies of callers' requests. */

import type {IncomingMessage} from 'node:http';
import {BodyBuffer} from './body_buffer.js';
import {HOP_BY_HOP_HEADERS} from './header_codec.js';
import type {RefusalReason} from './outcome.js';

const EMPTY_BODY = Buffer.alloc(0);

const REQUEST_TOO_LARGE_STATUS = 413;
const HEADERS_TOO_LARGE_STATUS = 431;
const BODY_TOO_LARGE: ReadResult = {
  kind: 'too-large',
  statusCode: REQUEST_TOO_LARGE_STATUS,
};

/** Status of a response to a request without a known key. */
export const UNAUTHORIZED_STATUS = 401;
const UNAVAILABLE_STATUS = 503;
/** Statuses of refusals; the others have 503. */
const REFUSAL_STATUSES: ReadonlyMap<RefusalReason, number> = new Map([
  ['unknown-key', UNAUTHORIZED_STATUS],
  ['no-route', 404],
  ['over-quota', 429],
]);

const REJECTION_STATUS: ReadonlyMap<string, string> = new Map([
  ['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
  ['HPE_CHUNK_EXTENSIONS_OVERFLOW', '413 Payload Too Large'],
  ['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
]);

/** Result of reading a request. */
export type ReadResult =
  | {readonly kind: 'whole'; readonly body: Uint8Array}
  /** It exceeds a limit, which the status names. */
  | {readonly kind: 'too-large'; readonly statusCode: number}
  | {readonly kind: 'incomplete'};

/** Sizes up to which requests are read. */
export interface RequestLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
}

/** Formats the response to bytes that are no request, by the error of the parser. */
export function formatRejection(errorCode: string): string {
  const status = REJECTION_STATUS.get(errorCode) ?? '400 Bad Request';
  return `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
}

/** Status of a refusal, and whether no later attempt removes its cause. */
export function describeRefusal(reason: RefusalReason): {
  statusCode: number;
  isLasting: boolean;
} {
  const statusCode = REFUSAL_STATUSES.get(reason) ?? UNAVAILABLE_STATUS;
  const isLasting = reason === 'unknown-key' || reason === 'no-route';
  return {statusCode, isLasting};
}

/** Returns the headers to forward, as alternating names and values. */
export function filterHeaders(
  request: IncomingMessage,
  stripped: ReadonlySet<string>,
): string[] {
  const {rawHeaders} = request;
  const connectionOptions = parseConnectionOptions(request.headers.connection);
  const forwarded: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const key = name.toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(key) || stripped.has(key)) continue;
    if (connectionOptions.has(key)) continue;
    forwarded.push(name, rawHeaders[index + 1] ?? '');
  }
  return forwarded;
}

function parseConnectionOptions(
  value: string | undefined,
): ReadonlySet<string> {
  const names = (value ?? '').split(',');
  return new Set(names.map(name => name.trim().toLowerCase()));
}

/** Reads the rest of a request whose head has been read. */
export async function readRequest(
  request: IncomingMessage,
  limits: RequestLimits,
): Promise<ReadResult> {
  if (countHeaderBytes(request) > limits.maxHeaderBytes) {
    return {kind: 'too-large', statusCode: HEADERS_TOO_LARGE_STATUS};
  }
  const {headers} = request;
  const length = Number(headers['content-length'] ?? 0);
  if (length > limits.maxBodyBytes) return BODY_TOO_LARGE;
  const hasBody = length > 0 || headers['transfer-encoding'] !== undefined;
  if (!hasBody) return {kind: 'whole', body: EMPTY_BODY};
  const body = new BodyBuffer();
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      body.append(chunk);
      if (body.getSize() > limits.maxBodyBytes) return BODY_TOO_LARGE;
    }
  } catch {
    // The caller disconnected mid-body; nothing has been forwarded yet.
    return {kind: 'incomplete'};
  }
  if (!request.complete) return {kind: 'incomplete'};
  return {kind: 'whole', body: body.take()};
}

function countHeaderBytes(request: IncomingMessage): number {
  let bytes = (request.method?.length ?? 0) + (request.url?.length ?? 0);
  for (const text of request.rawHeaders) bytes += text.length + 2;
  return bytes;
}
