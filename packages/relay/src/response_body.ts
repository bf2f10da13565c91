/** Writes the body of an answer as its caller reads it. */

import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {HeldMemory} from './held_memory.js';

/** Size of the parts by which progress is seen. */
const PART_BYTES = 64 * 1_024;
/** Answers up to this size are counted with their request. */
const MIN_COUNTED_BYTES = 4 * 1_024;

/**
 * Writes the body and ends the response. The body is held until it is written; if
 * the memory is needed while the caller reads nothing, its connection is reset.
 */
export function writeBody(
  response: ServerResponse,
  socket: Socket,
  body: Uint8Array,
  memory: HeldMemory,
): void {
  if (body.byteLength <= MIN_COUNTED_BYTES) {
    response.end(body);
    return;
  }
  const holding = memory.open('answer', () => socket.resetAndDestroy());
  if (!holding.tryGrow(body.byteLength)) {
    holding.release();
    socket.resetAndDestroy();
    return;
  }
  response.once('close', () => holding.release());
  let offset = 0;
  const writeNext = () => {
    while (body.byteLength - offset > PART_BYTES) {
      if (response.destroyed) return;
      const part = body.subarray(offset, offset + PART_BYTES);
      offset += part.byteLength;
      if (response.write(part)) continue;
      response.once('drain', () => {
        holding.recordProgress(part.byteLength);
        writeNext();
      });
      return;
    }
    response.end(body.subarray(offset));
  };
  writeNext();
}
