/**
 * Bounds what the connections of an HTTP server occupy: their number, the requests
 * of each that have no complete answer, and the time for which answers stay unread.
 */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {RelayObserver} from './observer.js';
import {paceReading} from './paced_reading.js';

/** Limits of a {@link ConnectionGuard}. */
export interface ConnectionLimits {
  readonly maxConnections: number;
  /** Requests without a complete answer on one connection. */
  readonly maxPipelined: number;
}

/** Dependencies of a {@link ConnectionGuard}. */
export interface ConnectionGuardOptions {
  /** Name of the server in counters and log lines. */
  readonly name: string;
  readonly limits: ConnectionLimits;
  readonly observer: Pick<RelayObserver, 'count' | 'log'>;
  /** Whether the connection has no request, nor a part of one. */
  readonly isIdle?: (socket: Socket) => boolean;
  /** Whether further requests are read from the connection. */
  readonly mayRead?: (socket: Socket) => boolean;
  /** Size of the parts that are passed to the parser. */
  readonly getPartBytes?: (socket: Socket) => number;
}

/** State of one connection. */
interface GuardedConnection {
  requestCount: number;
  unansweredCount: number;
  /** Bytes handed to the operating system at the latest check. */
  writtenBytes: number;
  writtenAtMs: number;
}

const COMPONENT = 'connection';
/** Time without any byte read by the client after which it is disconnected. */
export const UNREAD_TIMEOUT_MS = 10_000;
const CHECK_INTERVAL_MS = 500;
/** At most one log line per interval; the counters have all events. */
const LOG_INTERVAL_MS = 500;
/** Holds several requests of usual size. */
const PART_BYTES = 512;

/** Guards the connections of one server. */
export class ConnectionGuard {
  private readonly connections = new Map<Socket, GuardedConnection>();
  private loggedAtMs = -Infinity;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    server: Server,
    private readonly options: ConnectionGuardOptions,
  ) {
    server.on('connection', socket => this.accept(socket));
    server.on('request', (request, response) => this.admit(request, response));
  }

  getCount(): number {
    return this.connections.size;
  }

  private accept(socket: Socket): void {
    const {limits, mayRead, getPartBytes} = this.options;
    if (this.connections.size >= limits.maxConnections && !this.makeRoom()) {
      this.close(socket, 'too-many');
      return;
    }
    this.connections.set(socket, {
      requestCount: 0,
      unansweredCount: 0,
      writtenBytes: 0,
      writtenAtMs: performance.now(),
    });
    this.timer ??= setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();
    socket.once('close', () => this.remove(socket));
    paceReading(socket, {
      mayRead: () => mayRead?.(socket) ?? true,
      getPartBytes: () => getPartBytes?.(socket) ?? PART_BYTES,
    });
  }

  private admit(request: IncomingMessage, response: ServerResponse): void {
    const {socket} = request;
    const connection = this.connections.get(socket);
    if (!connection) return;
    connection.requestCount += 1;
    connection.unansweredCount += 1;
    response.once('close', () => {
      connection.unansweredCount -= 1;
    });
    if (connection.unansweredCount > this.options.limits.maxPipelined) {
      this.close(socket, 'pipelined');
    }
  }

  private remove(socket: Socket): void {
    this.connections.delete(socket);
    if (this.connections.size > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  /**
   * Closes the oldest connection that is idle, or else the oldest one that has sent
   * no complete request.
   */
  private makeRoom(): boolean {
    for (const [socket, connection] of this.connections) {
      if (!this.isIdle(socket, connection)) continue;
      this.close(socket, 'idle');
      return true;
    }
    for (const [socket, {requestCount}] of this.connections) {
      if (requestCount > 0) continue;
      this.close(socket, 'no-request');
      return true;
    }
    return false;
  }

  private isIdle(socket: Socket, connection: GuardedConnection): boolean {
    const {isIdle} = this.options;
    if (isIdle) return isIdle(socket);
    return connection.unansweredCount === 0;
  }

  private check(): void {
    const nowMs = performance.now();
    for (const [socket, connection] of this.connections) {
      const writtenBytes = socket.bytesWritten - socket.writableLength;
      const isUnread = socket.writableLength > 0;
      if (!isUnread || writtenBytes !== connection.writtenBytes) {
        connection.writtenBytes = writtenBytes;
        connection.writtenAtMs = nowMs;
      } else if (nowMs - connection.writtenAtMs > UNREAD_TIMEOUT_MS) {
        this.close(socket, 'unread');
      }
    }
  }

  // A reset shows that an answer is incomplete.
  private close(socket: Socket, reason: string): void {
    const {name, observer, limits} = this.options;
    observer.count('connection-closed', `${name}-${reason}`);
    const nowMs = performance.now();
    if (nowMs - this.loggedAtMs >= LOG_INTERVAL_MS) {
      this.loggedAtMs = nowMs;
      observer.log('warn', COMPONENT, 'closed', {
        server: name,
        reason,
        connections: this.connections.size,
        maxConnections: limits.maxConnections,
      });
    }
    this.connections.delete(socket);
    socket.resetAndDestroy();
  }
}
