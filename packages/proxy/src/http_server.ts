/** A Node HTTP server that stops without cutting a request. */

import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Server as NetServer} from 'node:net';
import {waitUntil} from './wait_until.js';

/** Answers one request; must not reject. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** Where a server listens. */
export interface ListenOptions {
  readonly host: string;
  readonly port: number;
  /** Idle time after which a connection is closed. */
  readonly idleTimeoutMs: number;
}

/** Time without a request after which the listener is closed. */
const QUIET_MS = 200;
const MAX_REFUSING_MS = 2_000;

/** Serves requests and counts those in flight. */
export class HttpServer {
  private readonly server: Server;
  private inFlightCount = 0;
  private isDraining = false;
  private isRefusing = false;
  private lastArrivalMs = 0;

  constructor(
    private readonly handler: RequestHandler,
    /** Answers requests that come while the server stops. */
    private readonly refuse: RequestHandler = handler,
  ) {
    this.server = createServer((request, response) => {
      void this.serve(request, response);
    });
    this.server.requestTimeout = 0;
  }

  /** Starts to accept connections; returns the port. */
  async listen(options: ListenOptions): Promise<number> {
    this.server.keepAliveTimeout = options.idleTimeoutMs;
    this.server.listen(options.port, options.host);
    await once(this.server, 'listening');
    return (this.server.address() as AddressInfo).port;
  }

  /** Asks clients to open no more requests on their connections. */
  beginDrain(): void {
    this.isDraining = true;
  }

  /**
   * Refuses what comes, waits for what runs, and closes once nobody comes any
   * more; `false` if time ran out for a running request.
   */
  async stop(timeoutMs: number): Promise<boolean> {
    this.beginDrain();
    this.isRefusing = true;
    this.lastArrivalMs = performance.now();
    await waitUntil(() => this.inFlightCount === 0, timeoutMs);
    // A connection that waits in the backlog when the listener closes is cut,
    // so the listener stays until callers have heard the refusal.
    await waitUntil(() => this.isQuiet(), MAX_REFUSING_MS);
    // The close of http.Server would also cut connections that carry a request
    // not yet read; that of net.Server only stops accepting.
    NetServer.prototype.close.call(this.server);
    const isWhole = this.inFlightCount === 0;
    this.server.closeIdleConnections();
    if (!isWhole) this.server.closeAllConnections();
    return isWhole;
  }

  private isQuiet(): boolean {
    return performance.now() - this.lastArrivalMs >= QUIET_MS;
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.lastArrivalMs = performance.now();
    if (this.isDraining) response.setHeader('connection', 'close');
    if (this.isRefusing) {
      await this.refuse(request, response);
      return;
    }
    this.inFlightCount += 1;
    response.once('close', () => {
      this.inFlightCount -= 1;
    });
    await this.handler(request, response);
  }
}
