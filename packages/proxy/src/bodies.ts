/** Reads message bodies up to a size limit. */

import type {IncomingMessage} from 'node:http';
import type {Readable} from 'node:stream';
import type {Result} from 'ts-results-es';
import {Err, Ok} from 'ts-results-es';

/** Why a request body was rejected. */
export type BodyError = 'body-too-large' | 'body-incomplete';

const EMPTY_BODY = Buffer.alloc(0);

/** Reads the complete body of a request. */
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

/** A body that was read to its end, or in part if it exceeds a size limit. */
export interface BufferedBody {
  readonly body: Buffer;
  /** The part that was not read, or undefined if the body is complete. */
  readonly remainingBody: Readable | undefined;
}

/**
 * Reads a stream until it ends or exceeds the size limit; rejects if the stream
 * fails or closes before that.
 */
export function bufferBody(
  stream: Readable,
  maxBytes: number,
): Promise<BufferedBody> {
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
      resolve({body: joinChunks(chunks, size), remainingBody: stream});
    };
    const handleEnd = () => {
      resolve({body: joinChunks(chunks, size), remainingBody: undefined});
    };
    stream.on('data', handleData);
    stream.once('end', handleEnd);
    stream.once('error', reject);
    // Node throws an error event without a listener. An error that follows the
    // buffered part also reaches the reader of the remaining body.
    stream.on('error', () => undefined);
    stream.once('close', () =>
      reject(new Error('stream closed before the end of the body')),
    );
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
