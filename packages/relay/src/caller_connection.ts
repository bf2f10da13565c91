/** A caller's connection and the order of the requests on it. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {BodyReader} from './request_body.js';

/** Holds a few requests of usual size. */
const PART_BYTES = 2_048;

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
  readonly request: IncomingMessage;
  readonly requestId: string;
  readonly admittedAtMs: number;
  readonly position: number;
  /** {@link CallerConnection.allKnown} before this request. */
  readonly allKnown: Promise<void>;
  /** {@link CallerConnection.exclusiveKnown} before this request. */
  readonly exclusiveKnown: Promise<void>;
  /** Lets requests behind this one be passed on beside it. */
  readonly allowOverlap: () => void;
  /** Reports that the response is known. */
  readonly endTurn: () => void;
}

/**
 * Decides which response closes the connection. Callers send further requests before
 * the first response; a response that closes the connection must be the last one, and
 * callers take requests behind it as not read. So a request is passed on beside others only
 * if it may overlap with them.
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
  private bodyReader: BodyReader | undefined;
  private isClosing = false;
  /** Called once all complete requests have their responses. */
  private handleAnswered: (() => void) | undefined;
  /** Resolves once the responses to all requests so far are known. */
  private allKnown: Promise<void> = Promise.resolve();
  /** Resolves once that is so for those that no other request may overlap. */
  private exclusiveKnown: Promise<void> = Promise.resolve();

  constructor(readonly socket: Socket) {}

  /**
   * Whether it is open for further requests, all requests have their responses, and no
   * part of another has arrived.
   */
  isIdle(): boolean {
    return (
      !this.isClosing &&
      this.unwritten.size === 0 &&
      this.socket.bytesRead === this.readBytes
    );
  }

  /** Whether bytes that arrive may still belong to a request that is served. */
  isReading(): boolean {
    return !this.isClosing && !this.handleAnswered;
  }

  /** Sets the reader of the latest body. */
  setBodyReader(reader: BodyReader): void {
    this.bodyReader = reader;
  }

  /** Size of the next part for the parser, which may hold several requests. */
  getPartBytes(): number {
    const bytesLeft = this.bodyReader?.getBytesLeft() ?? 0;
    return Math.max(PART_BYTES, bytesLeft);
  }

  /** Admits the next request; `false` if the connection closes before it. */
  admit(
    request: IncomingMessage,
    response: ServerResponse,
    requestId: string,
  ): boolean {
    if (this.isClosing || this.handleAnswered) return false;
    this.firstResponse ??= response;
    this.lastResponse = response;
    this.requestCount += 1;
    const {allKnown, exclusiveKnown} = this;
    const known = newSignal();
    const overlap = newSignal();
    this.allKnown = allKnown.then(() => known.whenSent);
    this.exclusiveKnown = exclusiveKnown.then(() => overlap.whenSent);
    this.unwritten.set(response, {
      request,
      requestId,
      admittedAtMs: performance.now(),
      position: this.requestCount,
      allKnown,
      exclusiveKnown,
      allowOverlap: overlap.send,
      endTurn: () => {
        known.send();
        overlap.send();
      },
    });
    response.once('close', () => {
      this.remove(response);
      this.readBytes = this.socket.bytesRead;
      this.writtenBytes = this.socket.bytesWritten;
    });
    return true;
  }

  /** Owes no response to a request behind one that closes the connection. */
  remove(response: ServerResponse): void {
    this.endTurn(response);
    this.unwritten.delete(response);
    this.checkAnswered();
  }

  /**
   * Admits no further requests, and calls back once the complete ones have their
   * responses. One that is incomplete can't get one.
   */
  stopReading(handleAnswered: () => void): void {
    if (this.handleAnswered) return;
    this.handleAnswered = handleAnswered;
    this.checkAnswered();
  }

  /**
   * Waits until the request may be passed on; `false` if the connection closes before
   * it. One that may overlap waits only for those before it that may not.
   */
  async whenTurn(
    response: ServerResponse,
    mayOverlap: boolean,
  ): Promise<boolean> {
    const request = this.unwritten.get(response);
    if (mayOverlap) request?.allowOverlap();
    await (mayOverlap ? request?.exclusiveKnown : request?.allKnown);
    return !this.isClosing && this.unwritten.has(response);
  }

  /** Lets the requests behind this one have their turn, as its response is known. */
  endTurn(response: ServerResponse): void {
    this.unwritten.get(response)?.endTurn();
  }

  /** Requests whose response has not been handed to the operating system yet. */
  countInFlight(): number {
    return this.unwritten.size;
  }

  /** Describes the requests in flight behind the given one, or all of them. */
  describeInFlight(first?: ServerResponse): UnansweredRequest[] {
    const nowMs = performance.now();
    const firstPosition = (first && this.unwritten.get(first)?.position) ?? 0;
    const behind = [...this.unwritten].filter(
      ([, {position}]) => position > firstPosition,
    );
    return behind.map(([response, request]) => ({
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

  private checkAnswered(): void {
    if (!this.handleAnswered) return;
    for (const {request} of this.unwritten.values()) {
      if (request.complete) return;
    }
    this.handleAnswered();
  }
}

interface Signal {
  readonly whenSent: Promise<void>;
  readonly send: () => void;
}

function newSignal(): Signal {
  let send: () => void = () => undefined;
  const whenSent = new Promise<void>(resolve => {
    send = resolve;
  });
  return {whenSent, send};
}
