/** HTTP client that counts the responses that its connection has carried. */

import type {Socket} from 'node:net';
import type {Dispatcher, buildConnector} from 'undici';
import {Client} from 'undici';

/** Receives the client that sends its request. */
export interface ClientUser {
  setClient(client: CountingClient): void;
}

/** Options of a request to a {@link CountingClient}. */
export interface CountedDispatchOptions extends Dispatcher.DispatchOptions {
  readonly user: ClientUser;
}

/** Options of a {@link CountingClient}. */
export interface CountingClientOptions extends Client.Options {
  readonly connect: buildConnector.connector;
}

interface Connection {
  socket: Socket | undefined;
  responseCount: number;
}

/** Keeps one connection at a time, and opens another one when it has ended. */
export class CountingClient extends Client {
  private readonly connection: Connection;

  constructor(origin: string | URL, options: CountingClientOptions) {
    const connection: Connection = {socket: undefined, responseCount: 0};
    super(origin, {
      ...options,
      connect: (target, callback) => {
        options.connect(target, (...result) => {
          connection.socket = result[1] ?? undefined;
          connection.responseCount = 0;
          callback(...result);
        });
      },
    });
    this.connection = connection;
  }

  override dispatch(
    options: CountedDispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    options.user.setClient(this);
    return super.dispatch(options, handler);
  }

  /**
   * Counts a response; returns the number of responses that the connection
   * carried before it.
   */
  countResponse(): number {
    const {responseCount} = this.connection;
    this.connection.responseCount = responseCount + 1;
    return responseCount;
  }

  /**
   * Closes the connection at once. Aborting the request would also open another
   * connection, even if no request needs it.
   */
  closeConnection(): void {
    this.connection.socket?.destroy();
  }
}
