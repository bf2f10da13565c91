import {once} from 'node:events';
import {connect} from 'node:net';
import {expect} from 'chai';
import {DEFAULT_CALLER_LIMITS} from './caller_limits.js';
import type {RelayOutcome} from './outcome.js';
import {
  HOST,
  answer,
  listen,
  readToEnd,
} from './testing/caller_server_fixture.js';

const newHead = (path: string) => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;

function sleep(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}

describe('Pipelined requests', () => {
  // A response without a length ends with its connection. Requests behind it had been
  // passed on, ran, and were cut, though callers take them as not read and send them
  // again: a non-idempotent one ran twice.
  it('are not passed on while a response before them may close the connection', async () => {
    const handled: string[] = [];
    const {server, port} = await listen(async ({path}) => {
      handled.push(path);
      await sleep(30);
      return answer(path, false);
    });
    const socket = connect({host: HOST, port});
    let received = '';
    socket.on('data', (chunk: Buffer) => (received += chunk.toString()));
    socket.write(newHead('/1') + newHead('/2') + newHead('/3'));
    await once(socket, 'close');
    await sleep(50);
    server.stopAccepting();
    expect(handled).to.deep.equal(['/1']);
    expect(received.match(/response-id: \/1/gi)).to.have.length(1);
  });

  // A rejection closes the connection, so it has to wait for the requests before it.
  it('all have their responses before a rejection closes the connection', async () => {
    const limits = {...DEFAULT_CALLER_LIMITS, maxHeaderBytes: 200};
    const {server, port} = await listen(async ({path}) => {
      await sleep(20);
      return answer(path, true);
    }, limits);
    const socket = connect({host: HOST, port});
    let received = '';
    socket.on('data', (chunk: Buffer) => (received += chunk.toString()));
    const tooLong = newHead(`/${'x'.repeat(300)}`);
    socket.write(newHead('/1') + newHead('/2') + tooLong + newHead('/4'));
    await once(socket, 'close');
    server.stopAccepting();
    expect(received.match(/response-id: \/[12]/gi)).to.have.length(2);
    expect(received.match(/HTTP\/1\.1 \d+/g)).to.deep.equal([
      'HTTP/1.1 200',
      'HTTP/1.1 200',
      'HTTP/1.1 431',
    ]);
  });

  // The answer to bytes that are no request was sent in place of the response of the
  // request before them, which had been passed on, and closed the connection.
  it('have their responses although what follows is no request', async () => {
    const {server, port} = await listen(async ({path}) => {
      await sleep(40);
      return answer(path, true);
    });
    const socket = connect({host: HOST, port});
    const received = readToEnd(socket);
    socket.write(`${newHead('/1')}${newHead('/2')}no request\r\n\r\n`);
    await sleep(20);
    socket.write(newHead('/3'));
    const text = await received;
    server.stopAccepting();
    expect(text.match(/response-id: \/\d/gi)).to.have.length(2);
    expect(text.match(/HTTP\/1\.1 \d+/g)).to.deep.equal([
      'HTTP/1.1 200',
      'HTTP/1.1 200',
      'HTTP/1.1 400',
    ]);
  });

  it('are answered with status 400 if they are no requests', async () => {
    const {server, port} = await listen(() => new Promise(() => undefined));
    const socket = connect({host: HOST, port});
    socket.write('no request\r\n\r\n');
    expect(await readToEnd(socket)).to.match(/^HTTP\/1\.1 400 /);
    server.stopAccepting();
  });

  // The connection was closed behind a long response while a request that followed it
  // was on its way; that reset it, and the rest of the response was lost.
  it('do not reset a long response that closes the connection', async () => {
    const bodyBytes = 8 * 1024 * 1024;
    const body = Buffer.alloc(bodyBytes, 'x');
    const {server, port} = await listen(() =>
      Promise.resolve({...answer('long', false), body} as RelayOutcome),
    );
    const socket = connect({host: HOST, port});
    socket.write(newHead('/1'));
    let receivedBytes = 0;
    let error: Error | undefined;
    socket.on('error', cause => (error = cause));
    socket.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.byteLength;
      socket.pause();
      socket.write(newHead('/2'));
      setTimeout(() => socket.resume(), 2);
    });
    await new Promise(resolve => socket.once('close', resolve));
    server.stopAccepting();
    expect(error).to.equal(undefined);
    expect(receivedBytes).to.be.above(bodyBytes);
  });

  // To wait for the response before it would cost a request that may be repeated time
  // for a case that is rare. Those before and behind it must still not overlap.
  it('overlap only if all of them may', async () => {
    const events: string[] = [];
    const handle = async ({path}: {readonly path: string}) => {
      events.push(`run ${path}`);
      await sleep(20);
      events.push(`end ${path}`);
      return answer(path, true);
    };
    const {server, port} = await listen(
      handle,
      DEFAULT_CALLER_LIMITS,
      0,
      undefined,
      path => !path.startsWith('/unsafe'),
    );
    const socket = connect({host: HOST, port});
    const received = readToEnd(socket);
    const paths = ['/1', '/2', '/unsafe', '/3', '/4'];
    for (const path of paths) socket.write(newHead(path));
    await sleep(150);
    socket.end();
    await received;
    server.stopAccepting();
    const position = (event: string) => events.indexOf(event);
    expect(position('run /2')).to.be.below(position('end /1'));
    expect(position('run /unsafe')).to.be.above(position('end /1'));
    expect(position('run /unsafe')).to.be.above(position('end /2'));
    expect(position('run /3')).to.be.above(position('end /unsafe'));
    expect(position('run /4')).to.be.below(position('end /3'));
    expect(events).to.have.length(2 * paths.length);
  });

  it('are dropped if their caller leaves before their turn', async () => {
    const handled: string[] = [];
    const {server, port} = await listen(async ({path}) => {
      handled.push(path);
      await sleep(40);
      return answer(path, true);
    });
    const socket = connect({host: HOST, port});
    socket.write(newHead('/1') + newHead('/2') + newHead('/3'));
    await sleep(20);
    socket.resetAndDestroy();
    await sleep(100);
    server.stopAccepting();
    expect(handled).to.deep.equal(['/1']);
  });

  // The runtime closed the connection at once, and the request before, which had been
  // passed on, got no response.
  it('have their responses although a CONNECT follows', async () => {
    const {server, port} = await listen(async ({path}) => {
      await sleep(40);
      return answer(path, true);
    });
    const socket = connect({host: HOST, port});
    const received = readToEnd(socket);
    socket.write(`${newHead('/1')}CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\n\r\n`);
    socket.once('data', () => socket.end());
    const text = await received;
    server.stopAccepting();
    expect(text).to.match(/response-id: \/1/i);
  });
});
