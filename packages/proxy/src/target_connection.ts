/** Connections to a target, and what is known of them when a response arrives. */

import {CheckedClient} from '@cassiaknot/http-client';
import type {Dispatcher} from 'undici';
import {Pool} from 'undici';
import {CONNECT_TIMEOUT_MS} from './constants.js';

/** What happened to the connection that carries a request. */
export class ConnectionUse {
  private isFirst = false;
  private isLast = false;

  recordConnect(): void {
    this.isFirst = true;
  }

  /** Whether the connection was opened for this request. */
  isFirstOnConnection(): boolean {
    return this.isFirst;
  }

  /** Lets no further request use the connection. */
  endConnection(): void {
    this.isLast = true;
  }

  isLastOnConnection(): boolean {
    return this.isLast;
  }
}

/**
 * Creates a pool whose connections carry one request at a time and record in the
 * {@link ConnectionUse}, passed as `opaque`, what happens to them.
 */
export function newConnectionPool(origin: string, connections: number): Pool {
  return new Pool(origin, {
    connections,
    factory: url => new TargetConnection(url),
  });
}

/** One connection, which is opened again when it is needed after it was closed. */
class TargetConnection extends CheckedClient {
  private use: ConnectionUse | undefined;

  constructor(origin: URL) {
    super(origin, {
      connect: {timeout: CONNECT_TIMEOUT_MS},
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      onConnect: () => this.use?.recordConnect(),
    });
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    // The client opens another connection for a request that it has not sent yet.
    if (this.use?.isLastOnConnection() === true) this.closeConnection();
    if ('opaque' in options && options.opaque instanceof ConnectionUse) {
      this.use = options.opaque;
    }
    return super.dispatch(options, handler);
  }
}
