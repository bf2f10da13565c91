/** HTTP client for the local target. */

import {connect} from 'node:net';
import {splitAddress} from '@cassiaknot/peer-protocol';
import {Pool} from 'undici';
import {
  SPARE_TARGET_CONNECTIONS,
  TARGET_CONNECT_TIMEOUT_MS,
} from './constants.js';
import {CountingClient} from './counting_client.js';
import type {ResponseClassification, ResponseHead} from './header_codec.js';
import type {LossReason} from './outcome.js';
import {ResponseReader} from './response_reader.js';

/** A request as sent to the target. */
export interface TargetRequest {
  readonly method: string;
  /** Path with query string. */
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Aborting it closes the connection. */
  readonly signal: AbortSignal;
  /** Whether to use a new connection that carries no other request. */
  readonly usesFreshConnection: boolean;
  /**
   * Called with the head of the response. Unless the response bears the id of the
   * request, it is reported without its body, and its connection is closed.
   */
  classify(head: ResponseHead): ResponseClassification;
}

/** Response headers by lower-case name. */
export type ResponseHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** Result of sending a request. */
export type TargetExchange =
  | (ResponseHead & {
      readonly kind: 'response';
      readonly classification: ResponseClassification;
      readonly body: Uint8Array;
    })
  /** The connection could not be opened, so no byte was sent. */
  | {readonly kind: 'unconnected'; readonly isRefused: boolean}
  | {readonly kind: 'lost'; readonly reason: LossReason};

/** Sends requests to a target. */
export interface RelayTargetClient {
  send(request: TargetRequest): Promise<TargetExchange>;
  /** Whether the target accepts connections. */
  probe(): Promise<boolean>;
  /** Closes all connections at once. */
  close(): Promise<void>;
  /** Closes the connections once their requests have ended. */
  closeWhenIdle(): Promise<void>;
}

/** Keep-alive timeout for a target that advertises none. */
const IDLE_TIMEOUT_MS = 4_000;
/**
 * Upper bound on the keep-alive timeout from a target's response headers, which
 * state whole seconds.
 */
const MAX_IDLE_TIMEOUT_MS = 60_000;
/**
 * Idle connections are closed this long before the target would close them, so
 * that no request is sent on a connection that is being closed.
 */
const IDLE_MARGIN_MS = 1_500;

/** Sends HTTP/1.1 requests over a connection pool. */
export class HttpTargetClient implements RelayTargetClient {
  private readonly pool: Pool;
  private readonly origin: string;

  constructor(
    private readonly address: string,
    slots: number,
  ) {
    this.origin = `http://${address}`;
    this.pool = new Pool(this.origin, {
      connections: slots + SPARE_TARGET_CONNECTIONS,
      factory: origin => new CountingClient(origin, CLIENT_OPTIONS),
    });
  }

  async send(request: TargetRequest): Promise<TargetExchange> {
    const reader = new ResponseReader(request);
    if (!request.usesFreshConnection) return reader.exchange(this.pool);
    const client = new CountingClient(this.origin, CLIENT_OPTIONS);
    const result = await reader.exchange(client);
    if (result.kind === 'response') client.destroyWhenWritten();
    else void client.destroy();
    return result;
  }

  probe(): Promise<boolean> {
    return new Promise(resolve => {
      const socket = connect(splitAddress(this.address));
      const settle = (isReachable: boolean) => {
        clearTimeout(timer);
        socket.destroy();
        resolve(isReachable);
      };
      const timer = setTimeout(() => settle(false), TARGET_CONNECT_TIMEOUT_MS);
      socket.once('connect', () => settle(true));
      socket.once('error', () => settle(false));
    });
  }

  close(): Promise<void> {
    return this.pool.destroy();
  }

  closeWhenIdle(): Promise<void> {
    return this.pool.close();
  }
}

const CLIENT_OPTIONS = {
  connect: {timeout: TARGET_CONNECT_TIMEOUT_MS},
  pipelining: 1,
  headersTimeout: 0,
  bodyTimeout: 0,
  keepAliveTimeout: IDLE_TIMEOUT_MS,
  keepAliveMaxTimeout: MAX_IDLE_TIMEOUT_MS,
  keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
} as const;
