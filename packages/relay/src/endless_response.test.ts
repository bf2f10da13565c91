import {once} from 'node:events';
import type {AddressInfo, Server, Socket} from 'node:net';
import {createServer} from 'node:net';
import {expect} from 'chai';
import type {TargetExchange} from './target_client.js';
import {HttpTargetClient} from './target_client.js';

const HOST = '127.0.0.1';
const REQUEST_COUNT = 12;
const DEADLINE_MS = 4_000;
const BLOCK = Buffer.alloc(64 * 1024, 'x');
/** Memory of the smallest instances, less that of a process at rest. */
const MAX_ADDED_BYTES = 180 * 1024 * 1024;

interface EndlessResponse {
  readonly start: string;
  /** Repeated until the connection is closed. */
  readonly block: Buffer;
}

const CHUNK = Buffer.concat([
  Buffer.from(`${BLOCK.length.toString(16)}\r\n`),
  BLOCK,
  Buffer.from('\r\n'),
]);

/** Bytes that never become a response, by the place where they are sent. */
const ENDLESS_RESPONSES: Readonly<Record<string, EndlessResponse>> = {
  head: {start: 'HTTP/1.1 200 OK\r\nX: ', block: BLOCK},
  'head of many fields': {
    start: 'HTTP/1.1 200 OK\r\n',
    block: Buffer.from('X-Field: value\r\n'.repeat(1_000)),
  },
  'bytes before the head': {start: '', block: BLOCK},
  'interim responses': {
    start: '',
    block: Buffer.from('HTTP/1.1 102 Processing\r\n\r\n'.repeat(500)),
  },
  'counted body': {
    start: 'HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n',
    block: BLOCK,
  },
  'chunked body': {
    start: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    block: CHUNK,
  },
  'chunk extension': {
    start: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=',
    block: BLOCK,
  },
  // Each byte of the body held the whole block in which it was read.
  'chunk lines': {
    start: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    block: Buffer.from(`1;a=${'x'.repeat(70_000)}\r\nx\r\n`),
  },
  'chunks of one byte': {
    start: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    block: Buffer.from('1\r\nx\r\n'.repeat(10_000)),
  },
  trailers: {
    start:
      'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n',
    block: Buffer.from('X-Field: value\r\n'.repeat(1_000)),
  },
  'body until close': {start: 'HTTP/1.1 200 OK\r\n\r\n', block: BLOCK},
};

function sendWithoutEnd(socket: Socket, {start, block}: EndlessResponse): void {
  socket.on('error', () => undefined);
  const fill = () => {
    while (!socket.destroyed && socket.write(block)) continue;
  };
  socket.on('drain', fill);
  socket.once('data', () => {
    if (start !== '') socket.write(start);
    fill();
  });
}

async function listen(response: EndlessResponse): Promise<Server> {
  const server = createServer(socket => sendWithoutEnd(socket, response));
  server.listen(0, HOST);
  await once(server, 'listening');
  return server;
}

function getMemoryBytes(): number {
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

describe('Endless response', () => {
  for (const [place, response] of Object.entries(ENDLESS_RESPONSES)) {
    it(`bounds memory and reports a loss: ${place}`, async () => {
      const server = await listen(response);
      const {port} = server.address() as AddressInfo;
      const client = new HttpTargetClient(`${HOST}:${port}`, REQUEST_COUNT);
      const before = getMemoryBytes();
      let peak = before;
      const sampler = setInterval(() => {
        peak = Math.max(peak, getMemoryBytes());
      }, 1);
      const exchanges = await Promise.all(
        Array.from({length: REQUEST_COUNT}, (): Promise<TargetExchange> =>
          client.send({
            method: 'GET',
            path: '/',
            headers: ['Host', 'h'],
            body: new Uint8Array(),
            signal: AbortSignal.timeout(DEADLINE_MS),
            usesFreshConnection: false,
            classify: () => ({kind: 'answer'}),
          }),
        ),
      );
      clearInterval(sampler);
      await client.close();
      server.close();
      for (const {kind} of exchanges) expect(kind).to.equal('lost');
      expect(peak - before).to.be.below(MAX_ADDED_BYTES);
    });
  }

  it('leaves a complete response alone that is followed by endless bytes', async () => {
    const server = await listen({
      start: 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok',
      block: BLOCK,
    });
    const {port} = server.address() as AddressInfo;
    const client = new HttpTargetClient(`${HOST}:${port}`, 1);
    const exchange = await client.send({
      method: 'GET',
      path: '/',
      headers: ['Host', 'h'],
      body: new Uint8Array(),
      signal: AbortSignal.timeout(DEADLINE_MS),
      usesFreshConnection: false,
      classify: () => ({kind: 'answer'}),
    });
    await client.close();
    server.close();
    expect(exchange.kind).to.equal('response');
    if (exchange.kind !== 'response') return;
    expect(Buffer.from(exchange.body).toString()).to.equal('ok');
  });
});
