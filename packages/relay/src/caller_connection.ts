/** A caller's connection and the order of the requests on it. */

import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** A request without its complete response, for the log. */
export interface UnansweredRequest {
  readonly requestId: string;
  /** Time since its head was read. */
  readonly ageMs: number;
  readonly connectionAgeMs: number;
  /** Position among the requests of the connection, from 1. */
  readonly position: number;
  readonly hasAnswer: boolean;
  /** Bytes written since the last complete response of the connection. */
  readonly writtenBytes: number;
}

interface AdmittedRequest {
  readonly requestId: string;
  readonly admittedAtMs: number;
  readonly position: number;
  /** Resolves once it is known whether the response before this one closes. */
  readonly turn: Promise<void>;
}

/**
 * Decides which response closes the connection. Callers send further requests before
 * the first response; a response that closes the connection must be the last one, and
 * callers take requests behind it as not read. So a request has its turn only once the
 * response before it is known.
 */
export class CallerConnection {
  private readonly openedAtMs = performance.now();
  private readonly unwritten = new Map<ServerResponse, AdmittedRequest>();
  private requestCount = 0;
  /** Bytes that had been read when the latest response was complete. */
  private readBytes = 0;
  /** Bytes that had been written when the latest response was complete. */
  private writtenBytes = 0;
  private firstResponse: ServerResponse | undefined;
  private lastResponse: ServerResponse | undefined;
  private isClosing = false;
  /** Turn of the next request. */
  private nextTurn: Promise<void> = Promise.resolve();
  private readonly endTurns = new Map<ServerResponse, () => void>();

  constructor(readonly socket: Socket) {}

  /** Whether all requests have their responses, and no part of another has arrived. */
  isIdle(): boolean {
    return (
      this.unwritten.size === 0 && this.socket.bytesRead === this.readBytes
    );
  }

  /** Admits the next request; `false` if a response before it closes. */
  admit(response: ServerResponse, requestId: string): boolean {
    if (this.isClosing) return false;
    this.firstResponse ??= response;
    this.lastResponse = response;
    this.requestCount += 1;
    this.unwritten.set(response, {
      requestId,
      admittedAtMs: performance.now(),
      position: this.requestCount,
      turn: this.nextTurn,
    });
    this.nextTurn = new Promise(resolve => {
      this.endTurns.set(response, resolve);
    });
    response.once('close', () => {
      this.endTurn(response);
      this.unwritten.delete(response);
      this.readBytes = this.socket.bytesRead;
      this.writtenBytes = this.socket.bytesWritten;
    });
    return true;
  }

  /**
   * Waits until the response before this one is known; `false` if that closes the
   * connection or the connection is closed.
   */
  async whenTurn(response: ServerResponse): Promise<boolean> {
    await this.unwritten.get(response)?.turn;
    return !this.isClosing && this.unwritten.has(response);
  }

  /** Lets the next request have its turn, since this response is known. */
  endTurn(response: ServerResponse): void {
    this.endTurns.get(response)?.();
    this.endTurns.delete(response);
  }

  /** Requests whose response has not been handed to the operating system yet. */
  countInFlight(): number {
    return this.unwritten.size;
  }

  /** Describes the requests in flight. */
  describeInFlight(): UnansweredRequest[] {
    const nowMs = performance.now();
    return [...this.unwritten].map(([response, request]) => ({
      requestId: request.requestId,
      ageMs: Math.round(nowMs - request.admittedAtMs),
      connectionAgeMs: Math.round(nowMs - this.openedAtMs),
      position: request.position,
      hasAnswer: response.headersSent,
      writtenBytes: this.socket.bytesWritten - this.writtenBytes,
    }));
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
