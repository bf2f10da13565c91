/** A Node HTTP server that stops without cutting a request. */

import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Server as NetServer} from 'node:net';

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

const STOP_POLL_MS = 20;
/** Time without a request after which open connections are closed. */
const QUIET_MS = 200;

/** Serves requests and counts those in flight. */
export class HttpServer {
  private readonly server: Server;
  private inFlightCount = 0;
  private isDraining = false;
  private lastActiveMs = 0;

  constructor(private readonly handler: RequestHandler) {
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
   * Accepts no more connections, serves what comes on the open ones until they
   * have been quiet for a while, then closes; `false` if time ran out.
   */
  async stop(timeoutMs: number): Promise<boolean> {
    this.beginDrain();
    // The close of http.Server would also cut connections that carry a request
    // not yet read; that of net.Server only stops accepting.
    NetServer.prototype.close.call(this.server);
    const endsAtMs = performance.now() + timeoutMs;
    this.lastActiveMs = performance.now();
    while (!this.isQuiet() && performance.now() < endsAtMs) {
      await new Promise(resolve => setTimeout(resolve, STOP_POLL_MS));
    }
    const isWhole = this.inFlightCount === 0;
    this.server.closeIdleConnections();
    if (!isWhole) this.server.closeAllConnections();
    return isWhole;
  }

  private isQuiet(): boolean {
    if (this.inFlightCount > 0) return false;
    return performance.now() - this.lastActiveMs >= QUIET_MS;
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.inFlightCount += 1;
    response.once('close', () => {
      this.inFlightCount -= 1;
      this.lastActiveMs = performance.now();
    });
    if (this.isDraining) response.setHeader('connection', 'close');
    await this.handler(request, response);
  }
}
