/** A caller's connection and the order of the requests on it. */

import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/**
 * Decides which response closes the connection. Callers send further requests before
 * the first response; a response that closes the connection must be the last one, and
 * callers take requests behind it as not read.
 */
export class CallerConnection {
  private readonly unwritten = new Set<ServerResponse>();
  /** Bytes that had been read when the latest response was complete. */
  private readBytes = 0;
  private firstResponse: ServerResponse | undefined;
  private lastResponse: ServerResponse | undefined;
  private isClosing = false;

  constructor(readonly socket: Socket) {}

  /** Whether all requests have their responses, and no part of another has arrived. */
  isIdle(): boolean {
    return (
      this.unwritten.size === 0 && this.socket.bytesRead === this.readBytes
    );
  }

  /** Admits the next request; `false` if a response before it closes. */
  admit(response: ServerResponse): boolean {
    if (this.isClosing) return false;
    this.firstResponse ??= response;
    this.lastResponse = response;
    this.unwritten.add(response);
    response.once('close', () => {
      this.unwritten.delete(response);
      this.readBytes = this.socket.bytesRead;
    });
    return true;
  }

  /** Requests whose response has not been handed to the operating system yet. */
  countInFlight(): number {
    return this.unwritten.size;
  }

  /** Whether the response is to the first request of the connection. */
  isFirst(response: ServerResponse): boolean {
    return response === this.firstResponse;
  }

  /** Whether the response is to the latest request that was admitted. */
  isLast(response: ServerResponse): boolean {
    return response === this.lastResponse;
  }

  /** Admits no further requests, as a response announces the end. */
  announceClose(): void {
    this.isClosing = true;
  }
}
