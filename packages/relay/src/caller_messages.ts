/** Reads the headers and bodies of callers' requests. */

import type {IncomingMessage} from 'node:http';
import {BodyBuffer} from './body_buffer.js';
import {HOP_BY_HOP_HEADERS} from './header_codec.js';

const EMPTY_BODY = Buffer.alloc(0);

/** Result of reading the body of a request. */
export type BodyResult =
  | {readonly kind: 'body'; readonly body: Uint8Array}
  | {readonly kind: 'too-large'}
  | {readonly kind: 'incomplete'};

/** Returns the size of the request line and the headers. */
export function countHeaderBytes(request: IncomingMessage): number {
  let bytes = (request.method?.length ?? 0) + (request.url?.length ?? 0);
  for (const text of request.rawHeaders) bytes += text.length + 2;
  return bytes;
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

/** Reads the body of a request, up to a limit. */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<BodyResult> {
  const {headers} = request;
  const length = Number(headers['content-length'] ?? 0);
  if (length > maxBytes) return {kind: 'too-large'};
  const hasBody = length > 0 || headers['transfer-encoding'] !== undefined;
  if (!hasBody) return {kind: 'body', body: EMPTY_BODY};
  const body = new BodyBuffer();
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      body.append(chunk);
      if (body.getSize() > maxBytes) return {kind: 'too-large'};
    }
  } catch {
    // The caller disconnected mid-body; nothing has been forwarded yet.
    return {kind: 'incomplete'};
  }
  if (!request.complete) return {kind: 'incomplete'};
  return {kind: 'body', body: body.take()};
}
