/**
 * HTTP server with graceful shutdown: requests in flight may complete until a
 * timeout.
 */

import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {STATUS_CODES, createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Server as NetServer, Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {waitUntil} from './wait_until.js';

/** Handles one request; the promise must not reject. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  /** Time by the steady clock at which the head of the request was read. */
  receivedAtMs: number,
) => Promise<void>;

/** Address and connection settings of a server. */
export interface ListenOptions {
  readonly host: string;
  readonly port: number;
  /** Idle time after which a connection is closed. */
  readonly idleTimeoutMs: number;
}

/** Statuses of refusals by the error of the parser; of all other errors it is 400. */
const PARSE_ERROR_STATUSES: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/** Time without a new request after which a stopping server stops listening. */
const QUIET_PERIOD_MS = 200;
/** Maximum time for which a stopping server waits for a quiet period. */
const MAX_REFUSAL_MS = 2_000;

/** Serves requests and drains those in flight on shutdown. */
export class HttpServer {
  private readonly server: Server;
  private inFlightCount = 0;
  private isDraining = false;
  private isRefusing = false;
  private lastRequestAtMs = 0;
  private readonly latestResponses = new WeakMap<Socket, ServerResponse>();
  /** Resolves when the response to the latest request of a connection has ended. */
  private readonly latestEnds = new WeakMap<Socket, Promise<void>>();
  /** Resolves when the responses before the latest request have ended. */
  private readonly earlierEnds = new WeakMap<Socket, Promise<void>>();
  /** Connections with bytes that are no request. */
  private readonly malformedSockets = new WeakSet<Socket>();

  constructor(
    private readonly handler: RequestHandler,
    /** Refuses requests that arrive while the server stops. */
    private readonly refusalHandler: RequestHandler = handler,
  ) {
    this.server = createServer((request, response) => {
      void this.serve(request, response);
    });
    this.server.requestTimeout = 0;
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      if (socket instanceof Socket) void this.refuseMalformed(error, socket);
    });
  }

  /** Starts to accept connections; returns the bound port. */
  async listen(options: ListenOptions): Promise<number> {
    this.server.keepAliveTimeout = options.idleTimeoutMs;
    this.server.listen(options.port, options.host);
    await once(this.server, 'listening');
    return (this.server.address() as AddressInfo).port;
  }

  /** Asks clients to close their connections after the next response. */
  beginDrain(): void {
    this.isDraining = true;
  }

  /**
   * Refuses new requests, waits for those in flight up to the timeout and
   * closes the listener after a quiet period. Returns `false` if requests were
   * still in flight then and have been aborted.
   */
  async stop(timeoutMs: number): Promise<boolean> {
    this.beginDrain();
    this.isRefusing = true;
    this.lastRequestAtMs = performance.now();
    await waitUntil(() => this.inFlightCount === 0, timeoutMs);
    // Closing the listener resets connections in its backlog, so it stays open
    // until callers have received the refusal and stopped connecting.
    const refuseUntilMs = performance.now() + MAX_REFUSAL_MS;
    do {
      const leftMs = Math.max(0, refuseUntilMs - performance.now());
      await waitUntil(() => this.isQuietPeriodOver(), leftMs);
      // A late event loop runs timers before it reads what arrived meanwhile.
      await pollSockets();
    } while (!this.isQuietPeriodOver() && performance.now() < refuseUntilMs);
    // close() of http.Server would also close connections with a request that
    // has not been read yet; that of net.Server only stops accepting.
    NetServer.prototype.close.call(this.server);
    const isDrained = this.inFlightCount === 0;
    this.server.closeIdleConnections();
    if (!isDrained) this.server.closeAllConnections();
    return isDrained;
  }

  // While the server drains, the response to the latest request of a connection
  // closes it. Clients take requests behind a closing response as not read.
  private admit(socket: Socket, response: ServerResponse): boolean {
    const previous = this.latestResponses.get(socket);
    if (previous?.getHeader('connection') === 'close') {
      if (previous.headersSent) return false;
      previous.removeHeader('connection');
    }
    this.latestResponses.set(socket, response);
    if (this.isDraining) response.setHeader('connection', 'close');
    return true;
  }

  // The runtime would refuse the malformed bytes at once, in place of the responses to
  // the requests before them.
  private async refuseMalformed(
    {code = ''}: NodeJS.ErrnoException,
    socket: Socket,
  ): Promise<void> {
    if (this.malformedSockets.has(socket)) return;
    this.malformedSockets.add(socket);
    const latest = this.latestResponses.get(socket);
    const isCutRequest = latest?.req.complete === false;
    await (isCutRequest ? this.earlierEnds : this.latestEnds).get(socket);
    if (!socket.writable || (isCutRequest && latest.headersSent)) {
      socket.destroy();
      return;
    }
    refuseConnection(socket, code);
  }

  private isQuietPeriodOver(): boolean {
    return performance.now() - this.lastRequestAtMs >= QUIET_PERIOD_MS;
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const receivedAtMs = performance.now();
    this.lastRequestAtMs = receivedAtMs;
    if (!this.admit(request.socket, response)) return;
    if (this.isRefusing) {
      await this.refusalHandler(request, response, receivedAtMs);
      return;
    }
    await this.run(request, response, receivedAtMs);
  }

  // Callers take requests behind a response that closes the connection as not read,
  // so a request is run only once the responses before it have ended.
  private async run(
    request: IncomingMessage,
    response: ServerResponse,
    receivedAtMs: number,
  ): Promise<void> {
    const {socket} = request;
    const earlierEnd = this.latestEnds.get(socket);
    const end = waitForEnd(response, socket);
    this.latestEnds.set(socket, end);
    if (earlierEnd) this.earlierEnds.set(socket, earlierEnd);
    this.inFlightCount += 1;
    void end.then(() => {
      this.inFlightCount -= 1;
    });
    await earlierEnd;
    if (!socket.writable) return;
    await this.handler(request, response, receivedAtMs);
  }
}

/** Writes a response without a body and closes the connection behind it. */
function refuseConnection(socket: Socket, errorCode: string): void {
  const status = PARSE_ERROR_STATUSES[errorCode] ?? 400;
  const statusLine = `HTTP/1.1 ${status} ${STATUS_CODES[status]}`;
  socket.end(`${statusLine}\r\nConnection: close\r\n\r\n`);
  socket.destroySoon();
}

// The first callback runs after the current poll for I/O, the second after a
// complete one.
async function pollSockets(): Promise<void> {
  await setImmediate();
  await setImmediate();
}

// A response that waits for others before it is not closed with its connection.
function waitForEnd(response: ServerResponse, socket: Socket): Promise<void> {
  return new Promise(resolve => {
    const handleClose = () => {
      response.off('close', handleClose);
      socket.off('close', handleClose);
      resolve();
    };
    socket.setMaxListeners(0);
    response.once('close', handleClose);
    socket.once('close', handleClose);
  });
}
