import {once} from 'node:events';
import type {AddressInfo, Server, Socket} from 'node:net';
import {createServer} from 'node:net';
import {expect} from 'chai';
import type {TargetExchange} from './target_client.js';
import {HttpTargetClient} from './target_client.js';

const HOST = '127.0.0.1';

async function listen(
  handler: (socket: Socket, count: number) => void,
): Promise<Server> {
  let count = 0;
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      count += 1;
      handler(socket, count);
    });
  });
  server.listen(0, HOST);
  await once(server, 'listening');
  return server;
}

async function send(server: Server): Promise<TargetExchange> {
  const {port} = server.address() as AddressInfo;
  const client = new HttpTargetClient(`${HOST}:${port}`, 2);
  const exchange = await client.send({
    method: 'GET',
    path: '/',
    headers: ['Host', 'h'],
    body: new Uint8Array(),
    signal: new AbortController().signal,
    usesFreshConnection: false,
    classify: () => ({kind: 'answer'}),
  });
  await client.close();
  server.close();
  return exchange;
}

function describeExchange(exchange: TargetExchange): string {
  if (exchange.kind !== 'lost') return exchange.kind;
  return `${exchange.kind} ${exchange.reason}`;
}

const RESPONSE_WITHOUT_LENGTH = 'HTTP/1.1 200 OK\r\nRequest-Id: r\r\n\r\npart';
const TRUNCATED_RESPONSE = 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart';

describe('Target client', () => {
  it('accepts a response without a length when the connection ends', async () => {
    const server = await listen(socket => socket.end(RESPONSE_WITHOUT_LENGTH));
    expect(describeExchange(await send(server))).to.equal('response');
  });

  it('treats a response without a length as truncated at a reset', async () => {
    const server = await listen(socket => {
      socket.write(RESPONSE_WITHOUT_LENGTH, () => {
        setTimeout(() => socket.resetAndDestroy(), 20);
      });
    });
    expect(describeExchange(await send(server))).to.equal('lost answer-cut');
  });

  it('treats a response shorter than its length as truncated', async () => {
    const server = await listen(socket => socket.end(TRUNCATED_RESPONSE));
    expect(describeExchange(await send(server))).to.equal('lost answer-cut');
  });

  it('distinguishes a refused connection from a lost one', async () => {
    const closed = await listen(() => undefined);
    const {port} = closed.address() as AddressInfo;
    closed.close();
    const client = new HttpTargetClient(`${HOST}:${port}`, 1);
    const exchange = await client.send({
      method: 'GET',
      path: '/',
      headers: [],
      body: new Uint8Array(),
      signal: new AbortController().signal,
      usesFreshConnection: true,
      classify: () => ({kind: 'answer'}),
    });
    expect(exchange).to.deep.equal({kind: 'unconnected', isRefused: true});
    await client.close();
    const server = await listen(socket => socket.resetAndDestroy());
    expect(describeExchange(await send(server))).to.equal('lost target-lost');
  });
});
