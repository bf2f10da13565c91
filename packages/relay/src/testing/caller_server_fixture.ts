/** A caller server with a scripted entry. */

import {once} from 'node:events';
import type {AddressInfo, Socket} from 'node:net';
import {createServer} from 'node:net';
import {CallerServer, DEFAULT_CALLER_LIMITS} from '../caller_server.js';
import type {HeaderCodec} from '../header_codec.js';
import type {RelayEntry} from '../entry.js';
import type {CallerRequest} from '../entry_types.js';
import type {RelayObserver} from '../observer.js';
import type {RelayOutcome} from '../outcome.js';

export const HOST = '127.0.0.1';

const OBSERVER: RelayObserver = {
  log: () => undefined,
  count: () => undefined,
  measure: () => undefined,
};

const HEADER_CODEC: HeaderCodec = {
  strippedRequestHeaders: new Set(['request-id']),
  workspaceRequestHeaders: new Set(['authorization']),
  challenge: 'Bearer',
  strippedResponseHeaders: new Set(),
  parseCallerHeaders: headers => ({
    requestId: String(headers['request-id'] ?? ''),
    timeoutMs: undefined,
  }),
  formatTargetHeaders: () => [],
  parseTargetReport: () => ({limitPerSecond: undefined, isLeaving: false}),
  classifyResponse: () => ({kind: 'answer'}),
};

async function findFreePort(): Promise<number> {
  const server = createServer();
  server.listen(0, HOST);
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

/** Starts a server with the given handler and delay of its event loop. */
export async function listen(
  handle: (request: CallerRequest) => Promise<RelayOutcome>,
  limits = DEFAULT_CALLER_LIMITS,
  loopDelayMs = 0,
  observer = OBSERVER,
  mayOverlap: (path: string) => boolean = () => false,
): Promise<{server: CallerServer; port: number}> {
  const entry = {
    handle,
    mayOverlap: ({path}: {readonly path: string}) => mayOverlap(path),
    options: {getConfiguration: () => ({state: {version: 1}})},
  } as unknown as RelayEntry;
  const server = new CallerServer({
    entry,
    headerCodec: HEADER_CODEC,
    observer,
    getLimits: () => limits,
    getLoopDelayMs: () => loopDelayMs,
  });
  const port = await findFreePort();
  await server.listen(HOST, port);
  return {server, port};
}

/** Returns the response of a target that echoes the given text. */
export function answer(body: string, isFramed: boolean): RelayOutcome {
  return {
    kind: 'answered',
    statusCode: 200,
    headers: ['Response-Id', body],
    body: Buffer.from(body),
    isFramed,
  };
}

/** Returns what a socket receives until its connection ends. */
export async function readToEnd(socket: Socket): Promise<string> {
  let received = '';
  socket.on('data', (chunk: Buffer) => (received += chunk.toString()));
  socket.on('error', () => undefined);
  await new Promise(resolve => socket.once('close', resolve));
  return received;
}
