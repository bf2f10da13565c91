/** HTTP server for callers: reads requests and writes responses. */

import {once} from 'node:events';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import {Server as NetServer, Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {setImmediate} from 'node:timers/promises';
import type {CallerLimitsRecord} from '@cassiaknot/inventory';
import type {UnansweredRequest} from './caller_connection.js';
import {CallerConnection} from './caller_connection.js';
import {
  UNAUTHORIZED_STATUS,
  describeRefusal,
  filterHeaders,
  formatRejection,
  readRequest,
} from './caller_messages.js';
import type {HeaderCodec} from './header_codec.js';
import type {RelayEntry} from './entry.js';
import type {CallerRequest} from './entry_types.js';
import type {RelayObserver} from './observer.js';
import type {AnsweredOutcome, RelayOutcome} from './outcome.js';
import {describeOutcome} from './outcome.js';

/** Limits on requests and connections of callers. */
export type CallerLimits = Omit<CallerLimitsRecord, 'kind' | 'id'>;

/** Limits that apply until a configuration sets others. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 16 * 1024 * 1024,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};

/** Dependencies of a {@link CallerServer}. */
export interface CallerServerOptions {
  readonly entry: RelayEntry;
  readonly headerCodec: HeaderCodec;
  readonly observer: RelayObserver;
  readonly getLimits: () => CallerLimits;
  /** Time by which the event loop is late. */
  readonly getLoopDelayMs: () => number;
}

const COMPONENT = 'entry';
/** Limit of the HTTP parser; the configured limit is checked per request. */
const MAX_PARSED_HEADER_BYTES = 256 * 1024;
/** Delay of the event loop from which on callers may have left unnoticed. */
const LATE_LOOP_MS = 100;
/** Time for which a closed connection is still read. */
const LINGER_TIMEOUT_MS = 1_000;
/** Duration of a poll from which on more may have arrived meanwhile. */
const LATE_POLL_MS = 20;
const CONNECT_UNSUPPORTED = new Error('CONNECT is not supported');
const MS_PER_SECOND = 1_000;

/** A request that is being served. */
interface CallerExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly connection: CallerConnection;
  readonly receivedAtMs: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** Accepts requests from callers and passes them to the entry. */
export class CallerServer {
  private readonly server: Server;
  private lastRequestAtMs = 0;
  /** Connections and requests so far. */
  private arrivalCount = 0;
  private isClosing = false;
  /** Time by which responses must be sent; finite while this process stops. */
  private serveUntilMs = Infinity;
  private readonly connections = new Map<Socket, CallerConnection>();

  constructor(private readonly options: CallerServerOptions) {
    this.server = createServer(
      {maxHeaderSize: MAX_PARSED_HEADER_BYTES, noDelay: true},
      (request, response) => void this.serve(request, response),
    );
    this.server.on('connection', socket => {
      this.arrivalCount += 1;
      closeAfterPeer(socket);
      this.connections.set(socket, new CallerConnection(socket));
      socket.once('close', () => this.connections.delete(socket));
    });
    this.server.on('clientError', (error, socket) =>
      this.handleInvalidRequest(error, socket),
    );
    this.server.on(
      'timeout',
      (socket: Socket) => void this.closeIfIdle(socket),
    );
    this.server.on('connect', (_request, socket) =>
      this.handleInvalidRequest(CONNECT_UNSUPPORTED, socket),
    );
    this.server.requestTimeout = 0;
    this.applyLimits();
  }

  /** Starts accepting connections. */
  async listen(host: string, port: number): Promise<void> {
    this.server.listen(port, host);
    await once(this.server, 'listening');
  }

  /** Applies the limits of the current configuration. */
  applyLimits(): void {
    const {headerTimeoutMs, idleTimeoutMs} = this.options.getLimits();
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs;
  }

  /** Returns the number of requests whose response is not written yet. */
  getInFlightCount(): number {
    let count = 0;
    for (const connection of this.connections.values()) {
      count += connection.countInFlight();
    }
    return count;
  }

  /** Counts the open connections, and those without any part of a request. */
  describeConnections(): {connections: number; idleConnections: number} {
    let idleConnections = 0;
    for (const connection of this.connections.values()) {
      if (connection.isIdle()) idleConnections += 1;
    }
    return {connections: this.connections.size, idleConnections};
  }

  /** Returns the time since the last request arrived. */
  getIdleMs(): number {
    return performance.now() - this.lastRequestAtMs;
  }

  /**
   * Asks callers to close their connections, with `Connection: close`. Requests that
   * may take longer than until the given time are refused from now on.
   */
  requestClose(serveUntilMs: number): void {
    this.isClosing = true;
    this.serveUntilMs = serveUntilMs;
  }

  /**
   * Resets the connections with requests in flight, and returns their number. A
   * connection that the end of the process closes could mark a part of a response as
   * complete.
   */
  abortInFlight(): number {
    let cutCount = 0;
    for (const connection of this.connections.values()) {
      const requests = connection.describeInFlight();
      if (requests.length === 0) continue;
      for (const request of requests) this.logCut(request);
      cutCount += requests.length;
      connection.socket.resetAndDestroy();
    }
    return cutCount;
  }

  /**
   * Reads what has arrived, until a poll that is not late brings nothing new, or until
   * the given time. The runtime accepts one connection a turn, so a late event loop
   * needs several turns to catch up.
   */
  async readArrived(untilMs: number): Promise<void> {
    for (;;) {
      const arrivals = this.arrivalCount;
      const startedAtMs = performance.now();
      await pollSockets();
      const nowMs = performance.now();
      const isLate = nowMs - startedAtMs >= LATE_POLL_MS;
      const hasNew = this.arrivalCount !== arrivals;
      if (nowMs >= untilMs || (!hasNew && !isLate)) return;
    }
  }

  /** Stops accepting connections; those with requests stay open. */
  stopAccepting(): void {
    // http.Server.close would also close connections whose request has not been
    // read yet; net.Server.close only stops accepting.
    NetServer.prototype.close.call(this.server);
    // To http.Server, a connection is not idle before its first request, and idle while
    // its last response is being written.
    for (const connection of this.connections.values()) {
      if (connection.isIdle()) connection.socket.destroy();
    }
  }

  private logCut(request: UnansweredRequest): void {
    const {observer} = this.options;
    observer.count('cut', request.hasAnswer ? 'in-answer' : 'before-answer');
    observer.log('warn', COMPONENT, 'cut', {...request});
  }

  // A late event loop runs the timer of an idle connection before it reads what has
  // arrived on it.
  private async closeIfIdle(socket: Socket): Promise<void> {
    await pollSockets();
    if (this.connections.get(socket)?.isIdle() === true) socket.destroy();
  }

  // The runtime would respond in place of a request that is still in flight.
  private handleInvalidRequest(error: Error, socket: Duplex): void {
    const connection = this.findConnection(socket);
    if (!connection || !socket.writable) {
      socket.destroy();
      return;
    }
    const code = String(Reflect.get(error, 'code'));
    connection.stopReading(() => {
      if (!socket.writable) return;
      this.options.observer.log('info', COMPONENT, 'rejected', {code});
      socket.write(formatRejection(code));
      connection.socket.destroySoon();
    });
  }

  private findConnection(socket: Duplex): CallerConnection | undefined {
    return socket instanceof Socket ? this.connections.get(socket) : undefined;
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {socket} = request;
    const connection = this.connections.get(socket);
    const {requestId} = this.options.headerCodec.parseCallerHeaders(
      request.headers,
    );
    if (connection?.admit(request, response, requestId) !== true) {
      this.options.observer.count('refused', 'closed');
      request.resume();
      return;
    }
    const receivedAtMs = performance.now();
    this.lastRequestAtMs = receivedAtMs;
    this.arrivalCount += 1;
    const controller = new AbortController();
    const handleClose = () => {
      if (!response.writableFinished) controller.abort();
    };
    socket.setMaxListeners(0);
    socket.once('close', handleClose);
    // Node closes the connection of a caller that sends no more.
    socket.once('end', handleClose);
    const {signal} = controller;
    await this.respond({request, response, connection, receivedAtMs, signal});
    connection.endTurn(response);
    socket.off('close', handleClose);
    socket.off('end', handleClose);
  }

  private async respond(exchange: CallerExchange): Promise<void> {
    const {request, response, connection, receivedAtMs, signal} = exchange;
    const result = await readRequest(request, this.options.getLimits());
    const caller =
      result.kind === 'whole'
        ? this.toCallerRequest(request, result.body, receivedAtMs, signal)
        : undefined;
    const mayOverlap =
      caller !== undefined && this.options.entry.mayOverlap(caller);
    if (!(await connection.whenTurn(response, mayOverlap))) {
      this.options.observer.count('refused', 'closed');
      connection.remove(response);
      request.resume();
      return;
    }
    if (result.kind === 'too-large') {
      this.reject(exchange, result.statusCode);
      return;
    }
    if (!caller || (await this.hasCallerLeft(exchange, caller))) {
      response.destroy();
      return;
    }
    const {serveUntilMs} = this;
    const outcome = await this.options.entry.handle({...caller, serveUntilMs});
    this.recordMetrics(caller, outcome);
    if (signal.aborted) response.destroy();
    else this.writeOutcome(exchange, caller, outcome);
  }

  // A late event loop has read the request, but perhaps not yet the end of its
  // connection. The runtime accepts one connection a turn, so that new ones can wait
  // for long although no turn is late.
  private async hasCallerLeft(
    {connection, response}: CallerExchange,
    caller: Pick<CallerRequest, 'requestId' | 'signal'>,
  ): Promise<boolean> {
    const loopDelayMs = this.options.getLoopDelayMs();
    const isLate = loopDelayMs >= LATE_LOOP_MS;
    if (isLate || connection.isFirst(response)) await pollSockets();
    if (!caller.signal.aborted) return false;
    const {observer} = this.options;
    observer.count('refused', 'caller-left');
    observer.log('info', COMPONENT, 'caller-left', {
      requestId: caller.requestId,
      loopDelayMs: Math.round(loopDelayMs),
    });
    return true;
  }

  private toCallerRequest(
    request: IncomingMessage,
    body: Uint8Array,
    receivedAtMs: number,
    signal: AbortSignal,
  ): Omit<CallerRequest, 'serveUntilMs'> {
    const {headerCodec} = this.options;
    const {requestId, timeoutMs, key} = headerCodec.parseCallerHeaders(
      request.headers,
    );
    const host = (request.headers.host ?? '').toLowerCase();
    return {
      requestId,
      method: request.method ?? 'GET',
      host: host.replace(/:\d+$/, ''),
      path: request.url ?? '/',
      headers: filterHeaders(request, headerCodec.strippedRequestHeaders),
      body,
      key,
      timeoutMs,
      receivedAtMs,
      signal,
    };
  }

  private writeOutcome(
    exchange: CallerExchange,
    caller: Pick<CallerRequest, 'method'>,
    outcome: RelayOutcome,
  ): void {
    const {response, connection} = exchange;
    const isUnframed = outcome.kind === 'answered' && !outcome.isFramed;
    const isLast = this.isClosing && connection.isLast(response);
    const closes = isUnframed || isLast;
    if (closes) connection.announceClose();
    if (isUnframed) {
      for (const cut of connection.describeInFlight(response)) this.logCut(cut);
    }
    if (outcome.kind === 'answered') {
      this.writeResponse(response, caller, outcome, closes);
      return;
    }
    if (closes) response.setHeader('Connection', 'close');
    switch (outcome.kind) {
      case 'refused': {
        const {statusCode, isLasting} = describeRefusal(outcome.reason);
        response.statusCode = statusCode;
        if (statusCode === UNAUTHORIZED_STATUS) {
          const {challenge} = this.options.headerCodec;
          response.setHeader('WWW-Authenticate', challenge);
        }
        if (!isLasting) {
          const seconds = outcome.retryAfterMs / MS_PER_SECOND;
          response.setHeader('Retry-After', seconds.toFixed(3));
        }
        response.end();
        return;
      }
      case 'lost':
        response.statusCode = outcome.reason === 'timeout' ? 504 : 502;
        response.end();
        return;
    }
  }

  // A response without a length is passed on without one: the target may have
  // cut it off, and a length would mark it as complete.
  private writeResponse(
    response: ServerResponse,
    caller: Pick<CallerRequest, 'method'>,
    outcome: AnsweredOutcome,
    closes: boolean,
  ): void {
    const {statusCode, body} = outcome;
    const headers = [...outcome.headers];
    if (!outcome.isFramed) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    } else if (caller.method !== 'HEAD') {
      headers.push('Content-Length', String(body.byteLength));
    }
    if (closes) headers.push('Connection', 'close');
    response.writeHead(statusCode, headers);
    response.end(body);
  }

  private reject(exchange: CallerExchange, statusCode: number): void {
    const {request, response, connection} = exchange;
    const {requestId} = this.options.headerCodec.parseCallerHeaders(
      request.headers,
    );
    this.options.observer.log('info', COMPONENT, 'rejected', {
      requestId,
      statusCode,
    });
    connection.announceClose();
    response.writeHead(statusCode, {connection: 'close'});
    response.end();
  }

  private recordMetrics(
    caller: Pick<CallerRequest, 'receivedAtMs'>,
    outcome: RelayOutcome,
  ): void {
    const {observer} = this.options;
    observer.count(outcome.kind, String(describeOutcome(outcome).reason));
    observer.measure('request', performance.now() - caller.receivedAtMs);
  }
}

/**
 * Keeps reading after the last response until the peer has closed its side. A
 * connection that is closed while bytes arrive is reset, and what the peer has not
 * received yet is lost.
 */
function closeAfterPeer(socket: Socket): void {
  socket.destroySoon = () => {
    if (socket.writable) socket.end();
    const timer = setTimeout(() => socket.destroy(), LINGER_TIMEOUT_MS);
    socket.once('close', () => clearTimeout(timer));
  };
}

// The first callback runs after the current poll for I/O, the second after a
// complete one.
async function pollSockets(): Promise<void> {
  await setImmediate();
  await setImmediate();
}
