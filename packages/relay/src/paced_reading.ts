/**
 * Passes what arrives on a connection to the HTTP parser in small parts. The parser
 * handles all requests of a part before its caller can close the connection, so one
 * read of 64 KiB could create thousands of requests.
 */

import type {Socket} from 'node:net';
import {countReadBytes} from './buffer_collection.js';

/** How a connection is read. */
export interface PacedReadingOptions {
  /** Whether further requests are read; checked between the parts. */
  readonly mayRead: () => boolean;
  /** Size of the next part. */
  readonly getPartBytes: () => number;
}

/** Paces a connection of an HTTP server; called when it has been accepted. */
export function paceReading(
  socket: Socket,
  {mayRead, getPartBytes}: PacedReadingOptions,
): void {
  const parsers = socket.listeners('data');
  for (const parse of parsers) socket.off('data', toDataListener(parse));
  socket.on('data', (chunk: Buffer) => {
    countReadBytes(chunk.byteLength);
    let offset = 0;
    while (offset < chunk.byteLength && !socket.destroyed && mayRead()) {
      if (socket.isPaused()) {
        socket.unshift(chunk.subarray(offset));
        return;
      }
      const part = chunk.subarray(offset, offset + getPartBytes());
      for (const parse of parsers) toDataListener(parse).call(socket, part);
      offset += part.byteLength;
    }
  });
}

function toDataListener(listener: unknown): (chunk: Buffer) => void {
  return listener as (chunk: Buffer) => void;
}
