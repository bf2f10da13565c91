/** Reads bodies up to a bound. */

import type {IncomingMessage} from 'node:http';
import type {Readable} from 'node:stream';
import type {Result} from 'ts-results-es';
import {Err, Ok} from 'ts-results-es';

/** Why a request body was not taken. */
export type BodyError = 'body-too-large' | 'body-incomplete';

/** Reads a request's body whole. */
export async function readRequestBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, BodyError>> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.byteLength;
      if (size > maxBytes) return Err('body-too-large');
      chunks.push(chunk);
    }
  } catch {
    return Err('body-incomplete');
  }
  if (!request.complete) return Err('body-incomplete');
  return Ok(joinChunks(chunks, size));
}

/** A body that was read to its end or up to the bound. */
export interface HeldBody {
  readonly body: Buffer;
  /** The part that is still to come, or undefined. */
  readonly rest: Readable | undefined;
}

/** Reads a stream until its end or until a bound is passed; may reject. */
export async function holdBody(
  stream: Readable,
  maxBytes: number,
): Promise<HeldBody> {
  const chunks: Buffer[] = [];
  let size = 0;
  // An error after the held part reaches whoever reads the rest.
  stream.on('error', () => undefined);
  const iterator = stream.iterator({destroyOnReturn: false});
  for await (const chunk of iterator as AsyncIterable<Buffer>) {
    chunks.push(chunk);
    size += chunk.byteLength;
    if (size > maxBytes) {
      return {body: joinChunks(chunks, size), rest: stream};
    }
  }
  return {body: joinChunks(chunks, size), rest: undefined};
}

function joinChunks(chunks: readonly Buffer[], size: number): Buffer {
  const [first] = chunks;
  if (first && chunks.length === 1) return first;
  return Buffer.concat(chunks, size);
}
