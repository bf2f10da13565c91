/** Sends requests to the one target beside this gate. */

import {connect} from 'node:net';
import {splitAddress} from '@cassiaknot/peer-protocol';
import type {Dispatcher} from 'undici';
import {Client, Pool, buildConnector} from 'undici';
import {
  MAX_ANSWER_BYTES,
  SPARE_TARGET_CONNECTIONS,
  TARGET_CONNECT_TIMEOUT_MS,
} from './constants.js';
import type {LossReason} from './outcome.js';

/** A request as the target gets it. */
export interface TargetRequest {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Aborting it breaks the connection off. */
  readonly signal: AbortSignal;
  /** Whether no other request may have used the connection. */
  readonly usesFreshConnection: boolean;
}

/** Response headers by lower-case name. */
export type ResponseHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** What became of a request at the connection. */
export type TargetExchange =
  | {
      readonly kind: 'response';
      readonly statusCode: number;
      readonly headers: ResponseHeaders;
      readonly body: Uint8Array;
    }
  /** No connection was made, so no byte was sent. */
  | {readonly kind: 'unconnected'; readonly isRefused: boolean}
  | {readonly kind: 'lost'; readonly reason: LossReason};

/** Sends requests to a target. */
export interface TargetClient {
  send(request: TargetRequest): Promise<TargetExchange>;
  /** Whether the target takes connections at all. */
  probe(): Promise<boolean>;
  /** Breaks all connections off. */
  close(): Promise<void>;
}

const IDLE_TIMEOUT_MS = 4_000;
/** A target names its idle time in whole seconds; longer ones are cut to it. */
const MAX_IDLE_TIMEOUT_MS = 60_000;
/** Closes before the target does, so that no request meets its close. */
const IDLE_MARGIN_MS = 1_500;

/** Speaks HTTP/1.1 over a pool of connections. */
export class HttpTargetClient implements TargetClient {
  private readonly pool: Pool;
  private readonly origin: string;
  private readonly clientOptions: Client.Options;
  private resetCount = 0;

  constructor(
    private readonly address: string,
    slots: number,
  ) {
    this.origin = `http://${address}`;
    this.clientOptions = {...CLIENT_OPTIONS, connect: this.newConnector()};
    this.pool = new Pool(this.origin, {
      ...this.clientOptions,
      connections: slots + SPARE_TARGET_CONNECTIONS,
    });
  }

  async send(request: TargetRequest): Promise<TargetExchange> {
    if (!request.usesFreshConnection) return this.exchange(this.pool, request);
    const client = new Client(this.origin, this.clientOptions);
    const result = await this.exchange(client, request);
    void client.destroy();
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

  // The library takes a reset as the end of an answer without a length.
  private async exchange(
    dispatcher: Dispatcher,
    request: TargetRequest,
  ): Promise<TargetExchange> {
    const resetsBefore = this.resetCount;
    const result = await exchange(dispatcher, request);
    if (result.kind !== 'response' || isFramed(result.headers)) return result;
    if (this.resetCount === resetsBefore) return result;
    return {kind: 'lost', reason: 'answer-cut'};
  }

  private newConnector(): buildConnector.connector {
    const connector = buildConnector({timeout: TARGET_CONNECT_TIMEOUT_MS});
    return (options, callback) => {
      connector(options, (...result) => {
        result[1]?.on('error', error => {
          // The library's own errors also mark an orderly end.
          if (isErrorWith(error, 'syscall', 'read')) this.resetCount += 1;
        });
        callback(...result);
      });
    };
  }
}

/** Whether an answer states where it ends. */
export function isFramed(headers: ResponseHeaders): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}

const CLIENT_OPTIONS = {
  pipelining: 1,
  headersTimeout: 0,
  bodyTimeout: 0,
  keepAliveTimeout: IDLE_TIMEOUT_MS,
  keepAliveMaxTimeout: MAX_IDLE_TIMEOUT_MS,
  keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
} as const;

async function exchange(
  dispatcher: Dispatcher,
  request: TargetRequest,
): Promise<TargetExchange> {
  let hasHeaders = false;
  try {
    const response = await dispatcher.request({
      method: request.method,
      path: request.path,
      headers: [...request.headers],
      body: request.body.byteLength > 0 ? request.body : null,
      signal: request.signal,
    });
    hasHeaders = true;
    const {statusCode, headers} = response;
    const body = await readBody(response.body);
    if (!body) return {kind: 'lost', reason: 'answer-too-large'};
    return {kind: 'response', statusCode, headers, body};
  } catch (error) {
    return classifyError(error, request.signal, hasHeaders);
  }
}

async function readBody(
  stream: AsyncIterable<Uint8Array> & {destroy(): unknown},
): Promise<Uint8Array | undefined> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of stream) {
    size += chunk.byteLength;
    if (size > MAX_ANSWER_BYTES) {
      stream.destroy();
      return undefined;
    }
    chunks.push(chunk);
  }
  const [first] = chunks;
  return first && chunks.length === 1 ? first : Buffer.concat(chunks, size);
}

function classifyError(
  error: unknown,
  signal: AbortSignal,
  hasHeaders: boolean,
): TargetExchange {
  if (signal.aborted) {
    return {kind: 'lost', reason: toAbortReason(signal.reason)};
  }
  const isConnectError = isErrorWith(error, 'syscall', 'connect');
  if (isConnectError || isErrorWith(error, 'code', CONNECT_TIMEOUT_CODE)) {
    const isRefused = isErrorWith(error, 'code', 'ECONNREFUSED');
    return {kind: 'unconnected', isRefused};
  }
  return {kind: 'lost', reason: hasHeaders ? 'answer-cut' : 'target-lost'};
}

const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT';

function isErrorWith(error: unknown, field: string, value: string): boolean {
  if (!(error instanceof Error)) return false;
  return Reflect.get(error, field) === value;
}

function toAbortReason(reason: unknown): LossReason {
  return reason === 'timeout' || reason === 'target-silent'
    ? reason
    : 'cancelled';
}
