/** HTTP client that passes on only valid and complete responses. */

import type {Socket} from 'node:net';
import type {Dispatcher} from 'undici';
import {Agent, Client, DecoratorHandler, Pool, buildConnector} from 'undici';
import {
  InvalidResponseError,
  TruncatedResponseError,
  toResponseError,
} from './response_errors.js';
import type {ResponseFields} from './response_head.js';
import {endsWithConnection, findHeadFault} from './response_head.js';

/** Options of a {@link CheckedClient}. */
export interface CheckedClientOptions extends Client.Options {
  /** Called with each connection that the client opens. */
  readonly onConnect?: () => void;
}

/** Options of {@link newCheckedAgent}. */
export interface CheckedAgentOptions extends Client.Options {
  /** Maximum number of connections to an origin. */
  readonly connections: number;
  readonly connect: buildConnector.BuildOptions;
}

const MIN_FINAL_STATUS = 200;
/** Ignored by the receiver of a request or of nothing more. */
const EMPTY_LINE = '\r\n';

/** One connection, and what happened to it. */
class Connection {
  responseCount = 0;
  /** Whether its response lasts until the connection ends. */
  isUnframed = false;
  /** Whether the peer has ended its side. */
  hasEnded = false;
  /** Whether reading or writing has failed. */
  hasFailed = false;

  constructor(readonly socket: Socket) {
    // Both run before the listeners of undici, which takes a reset that shows on
    // reading or writing as the end of a response without a length. It also reports
    // errors of its own, without a system call, when a connection closes cleanly.
    socket.on('error', error => {
      if ('syscall' in error) this.hasFailed = true;
    });
    // Runs before the listener of the runtime, after which nothing can be written.
    socket.prependListener('end', () => this.handleEnd());
  }

  /** Whether a response that lasts until the connection ends is complete. */
  hasEndedCleanly(): boolean {
    return this.hasEnded && !this.hasFailed;
  }

  // The runtime reports a clean end for a reset that it finds behind data. Writing fails
  // on a connection that was reset, but not on one that the peer has ended. While the
  // request is still being written, the two can't be told apart: the result of that write
  // comes after the library has closed the connection.
  private handleEnd(): void {
    this.hasEnded = true;
    if (!this.isUnframed) return;
    if (this.socket.writableLength > 0) {
      this.hasFailed = true;
      return;
    }
    this.socket.write(EMPTY_LINE, error => {
      if (error) this.hasFailed = true;
    });
  }
}

/**
 * Keeps one connection at a time, and opens another one when it has ended. An invalid
 * response fails with an {@link InvalidResponseError}, and its connection is closed. A
 * response without a length whose connection did not end cleanly fails with a
 * {@link TruncatedResponseError}.
 */
export class CheckedClient extends Client {
  private connection: Connection | undefined;

  constructor(origin: string | URL, options: CheckedClientOptions = {}) {
    const {connect, onConnect, ...clientOptions} = options;
    const connector =
      typeof connect === 'function' ? connect : buildConnector(connect ?? {});
    super(origin, {
      ...clientOptions,
      connect: (target, callback) => {
        connector(target, (...result) => {
          const socket = result[1];
          this.connection = socket ? new Connection(socket) : undefined;
          if (socket) onConnect?.();
          callback(...result);
        });
      },
    });
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    const getConnection = () => this.connection;
    return super.dispatch(
      options,
      new CheckedHandler(handler, options.method, getConnection),
    );
  }

  /** Number of responses that the connection has carried. */
  getResponseCount(): number {
    return this.connection?.responseCount ?? 0;
  }

  /**
   * Ends the client after its last response. The rest of a long request is written
   * first, for the time that an idle connection is kept: a peer may answer early and
   * read on.
   */
  destroyWhenWritten(): void {
    const socket = this.connection?.socket;
    const isWriting =
      socket !== undefined && !socket.destroyed && socket.writableLength > 0;
    if (isWriting) socket.once('drain', () => void this.destroy());
    else void this.destroy();
  }

  /**
   * Closes the connection at once. Aborting the request would also open another
   * connection, even if no request needs it.
   */
  closeConnection(): void {
    this.connection?.socket.destroy();
  }
}

/** Creates an agent whose connections pass on only valid and complete responses. */
export function newCheckedAgent(options: CheckedAgentOptions): Agent {
  const {connections, connect, ...clientOptions} = options;
  return new Agent({
    factory: origin =>
      new Pool(origin, {
        connections,
        factory: url => new CheckedClient(url, {...clientOptions, connect}),
      }),
  });
}

/** Checks one response on its way from the HTTP library to its reader. */
class CheckedHandler implements Dispatcher.DispatchHandler {
  private readonly reader: Dispatcher.DispatchHandler;
  private connection: Connection | undefined;
  private hasHead = false;
  private isSettled = false;

  constructor(
    handler: Dispatcher.DispatchHandler,
    private readonly method: string,
    private readonly getConnection: () => Connection | undefined,
  ) {
    // Readers of the library have another interface, which this class converts.
    this.reader = new DecoratorHandler(handler);
  }

  onRequestStart(
    controller: Dispatcher.DispatchController,
    context: unknown,
  ): void {
    this.reader.onRequestStart?.(controller, context);
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: ResponseFields,
    statusMessage = '',
  ): void {
    if (this.isSettled) return;
    const {rawHeaders} = controller;
    const fields = Array.isArray(rawHeaders) ? rawHeaders : toList(headers);
    const fault = findHeadFault({statusCode, statusMessage, fields});
    const connection = this.getConnection();
    if (fault !== undefined) {
      this.fail(controller, new InvalidResponseError(fault));
      connection?.socket.destroy();
      return;
    }
    if (statusCode < MIN_FINAL_STATUS) return;
    this.hasHead = true;
    this.connection = connection;
    if (connection) {
      connection.responseCount += 1;
      connection.isUnframed = endsWithConnection(
        this.method,
        statusCode,
        headers,
      );
    }
    this.reader.onResponseStart?.(
      controller,
      statusCode,
      headers,
      statusMessage,
    );
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (!this.isSettled) this.reader.onResponseData?.(controller, chunk);
  }

  onResponseEnd(
    controller: Dispatcher.DispatchController,
    trailers: Record<string, string | string[] | undefined>,
  ): void {
    if (this.isSettled) return;
    const {connection} = this;
    if (connection?.isUnframed !== true) {
      this.end(controller, trailers);
      return;
    }
    // By the next turn, the write at the end of the connection has failed or not.
    setImmediate(() => {
      if (connection.hasEndedCleanly()) this.end(controller, trailers);
      else this.fail(controller, new TruncatedResponseError('no clean end'));
    });
  }

  onResponseError(
    controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.fail(controller, toResponseError(error, this.hasHead));
  }

  private end(
    controller: Dispatcher.DispatchController,
    trailers: Record<string, string | string[] | undefined>,
  ): void {
    this.isSettled = true;
    this.reader.onResponseEnd?.(controller, trailers);
  }

  private fail(controller: Dispatcher.DispatchController, error: Error): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.reader.onResponseError?.(controller, error);
  }
}

function toList(headers: ResponseFields): string[] {
  return Object.entries(headers).flatMap(([name, value]) =>
    [value ?? []].flat().flatMap(item => [name, item]),
  );
}
