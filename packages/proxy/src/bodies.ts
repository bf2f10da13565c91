/** Reads bodies up to a bound. */

import type {IncomingMessage} from 'node:http';
import type {Readable} from 'node:stream';
import type {Result} from 'ts-results-es';
import {Err, Ok} from 'ts-results-es';

/** Why a request body was not taken. */
export type BodyError = 'body-too-large' | 'body-incomplete';

const EMPTY_BODY = Buffer.alloc(0);

/** Reads a request's body whole. */
export async function readRequestBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, BodyError>> {
  if (!hasBody(request)) return Ok(EMPTY_BODY);
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
export function holdBody(
  stream: Readable,
  maxBytes: number,
): Promise<HeldBody> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const handleData = (chunk: Buffer) => {
      chunks.push(chunk);
      size += chunk.byteLength;
      if (size <= maxBytes) return;
      stream.pause();
      stream.off('data', handleData);
      stream.off('end', handleEnd);
      resolve({body: joinChunks(chunks, size), rest: stream});
    };
    const handleEnd = () => {
      resolve({body: joinChunks(chunks, size), rest: undefined});
    };
    stream.on('data', handleData);
    stream.once('end', handleEnd);
    // An error after the held part also reaches whoever reads the rest.
    stream.once('error', reject);
    stream.on('error', () => undefined);
    stream.once('close', () => reject(new Error('closed before its end')));
  });
}

function hasBody(request: IncomingMessage): boolean {
  const {headers} = request;
  if (headers['transfer-encoding'] !== undefined) return true;
  return Number(headers['content-length'] ?? 0) > 0;
}

function joinChunks(chunks: readonly Buffer[], size: number): Buffer {
  const [first] = chunks;
  if (first && chunks.length === 1) return first;
  return Buffer.concat(chunks, size);
}
