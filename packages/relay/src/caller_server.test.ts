import {once} from 'node:events';
import {Socket, connect} from 'node:net';
import {expect} from 'chai';
import type {CallerLimits} from './caller_limits.js';
import {DEFAULT_CALLER_LIMITS} from './caller_limits.js';
import type {CallerRequest} from './entry_types.js';
import type {LossReason, RefusalReason, RelayOutcome} from './outcome.js';
import {
  HOST,
  answer,
  listen,
  readToEnd,
} from './testing/caller_server_fixture.js';

/** More than a connection buffers between two processes. */
const LONG_BODY_BYTES = 32 * 1024 * 1024;
/** Memory of the smallest instances, less that of a process at rest. */
const MAX_ADDED_BYTES = 180 * 1024 * 1024;

/** Sends text to a server with the given handler; returns what it sends back. */
async function exchange(
  handle: (request: CallerRequest) => Promise<RelayOutcome>,
  text: string,
  limits: CallerLimits = DEFAULT_CALLER_LIMITS,
): Promise<string> {
  const {server, port} = await listen(handle, limits);
  const socket = connect({host: HOST, port});
  let received = '';
  socket.setEncoding('utf8');
  socket.on('data', (chunk: string) => {
    received += chunk;
  });
  socket.write(text);
  await once(socket, 'close');
  server.stopAccepting();
  return received;
}

/** Sends requests whose callers leave at once; returns how many are handled. */
async function countHandled(
  requestCount: number,
  loopDelayMs: number,
): Promise<number> {
  let handled = 0;
  const {server, port} = await listen(
    () => {
      handled += 1;
      return Promise.resolve(answer('ok', true));
    },
    DEFAULT_CALLER_LIMITS,
    loopDelayMs,
  );
  for (let index = 0; index < requestCount; index += 1) {
    const socket = connect({host: HOST, port});
    await once(socket, 'connect');
    socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
    socket.destroy();
  }
  const probe = connect({host: HOST, port});
  probe.resume();
  probe.write(FINAL_REQUEST);
  await once(probe, 'close');
  server.stopAccepting();
  return handled - 1;
}

const FINAL_REQUEST =
  'GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n';

describe('Caller server', () => {
  it('responds to pipelined requests in order', async () => {
    const received = await exchange(async request => {
      if (request.path === '/first') {
        await new Promise(resolve => setTimeout(resolve, 30));
      }
      return answer(request.path, true);
    }, `GET /first HTTP/1.1\r\nHost: h\r\n\r\n${FINAL_REQUEST}`);
    const first = received.indexOf('Response-Id: /first');
    expect(first).to.be.at.least(0);
    expect(received.indexOf('Response-Id: /last')).to.be.above(first);
  });

  it('adds no length to a response that the target sent without one', async () => {
    const received = await exchange(
      () => Promise.resolve(answer('part', false)),
      'GET / HTTP/1.1\r\nHost: h\r\n\r\n',
    );
    expect(received).to.match(/connection: close/i);
    expect(received).not.to.match(/content-length|transfer-encoding/i);
    expect(received.endsWith('\r\n\r\npart')).to.equal(true);
  });

  it('forwards complete bodies with a length or chunked encoding', async () => {
    const bodies: string[] = [];
    const handle = (request: CallerRequest) => {
      bodies.push(Buffer.from(request.body).toString());
      return Promise.resolve(answer('ok', true));
    };
    const withLength =
      'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello';
    const chunked =
      'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n' +
      '2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n';
    await exchange(handle, withLength + chunked + FINAL_REQUEST);
    expect(bodies).to.have.members(['hello', 'hello', '']);
  });

  // Each chunk of a body was kept as an object of its own until the body was complete.
  it('bounds the memory for a body in chunks of one byte', async () => {
    const chunk = '1\r\nx\r\n';
    const chunkCount = 1024 * 1024;
    let bodyBytes = 0;
    let peakBytes = 0;
    const getMemoryBytes = () => {
      const {heapUsed, external} = process.memoryUsage();
      return heapUsed + external;
    };
    const request =
      'POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n' +
      `Transfer-Encoding: chunked\r\n\r\n${chunk.repeat(chunkCount)}0\r\n\r\n`;
    const before = getMemoryBytes();
    const sampler = setInterval(() => {
      peakBytes = Math.max(peakBytes, getMemoryBytes() - before);
    }, 1);
    await exchange(({body}) => {
      bodyBytes = body.byteLength;
      return Promise.resolve(answer('ok', true));
    }, request);
    clearInterval(sampler);
    expect(bodyBytes).to.equal(chunkCount);
    expect(peakBytes).to.be.below(MAX_ADDED_BYTES);
  });

  // A busy event loop reads a request when its caller has already left, and the
  // closed connection only after that. Such requests were sent to targets.
  it('routes no request whose caller left before a late event loop read it', async () => {
    expect(await countHandled(20, 600)).to.equal(0);
  });

  // http.Server doesn't count a connection as idle before its first request. It was
  // served until the process ended, and its last requests were cut.
  it('closes unused connections when it stops accepting', async () => {
    const {server, port} = await listen(() =>
      Promise.resolve(answer('ok', true)),
    );
    const unused = connect({host: HOST, port});
    const started = connect({host: HOST, port});
    await Promise.all([once(unused, 'connect'), once(started, 'connect')]);
    started.write('GET / HTTP/1.1\r\n');
    await server.readArrived(Infinity);
    server.requestClose(Infinity);
    server.stopAccepting();
    unused.resume();
    await once(unused, 'close');
    started.write('Host: h\r\n\r\n');
    const [response] = (await once(started, 'data')) as [Buffer];
    expect(response.toString()).to.match(/^HTTP\/1\.1 200 /);
    started.destroy();
  });

  // Bytes that a late event loop has not read yet don't show on the connection, which
  // was closed as idle: requests were reset long after they had been sent.
  it('reads what has arrived before it closes idle connections', async () => {
    const {server, port} = await listen(() =>
      Promise.resolve(answer('ok', true)),
    );
    const kept = connect({host: HOST, port});
    kept.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
    await once(kept, 'data');
    const unused = connect({host: HOST, port});
    await once(unused, 'connect');
    const added = Array.from({length: 5}, () => connect({host: HOST, port}));
    await Promise.all(added.map(socket => once(socket, 'connect')));
    const sockets = [kept, unused, ...added];
    const received = Promise.all(sockets.map(readToEnd));
    server.requestClose(Infinity);
    for (const socket of sockets) socket.write(FINAL_REQUEST);
    await server.readArrived(Infinity);
    server.stopAccepting();
    for (const text of await received) {
      expect(text).to.match(/^HTTP\/1\.1 200 /);
    }
  });

  // The first response carried Connection: close, though the second request had been
  // passed on; the connection ended before its response.
  it('planned stop: responds to all pipelined requests that were passed on', async () => {
    const handled: string[] = [];
    const {server, port} = await listen(async ({path}) => {
      handled.push(path);
      if (path === '/1') server.requestClose(Infinity);
      await new Promise(resolve =>
        setTimeout(resolve, path === '/2' ? 60 : 30),
      );
      return answer(path, true);
    });
    const socket = connect({host: HOST, port});
    let received = '';
    socket.on('data', (chunk: Buffer) => (received += chunk.toString()));
    const newHead = (path: string) => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;
    socket.write(newHead('/1') + newHead('/2'));
    // Sent behind the response that closes the connection.
    setTimeout(() => socket.write(newHead('/3')), 45);
    setTimeout(() => socket.write(newHead('/4')), 75);
    await once(socket, 'close');
    server.stopAccepting();
    expect(received.match(/response-id: \/\d/gi)).to.have.length(
      handled.length,
    );
    expect(handled).to.include('/2');
    expect(received.match(/connection: close/gi)).to.have.length(1);
  });

  it('passes on no request behind a response that closes the connection', async () => {
    const handled: string[] = [];
    const {server, port} = await listen(({path}) => {
      handled.push(path);
      return Promise.resolve(answer('x'.repeat(8_000_000), false));
    });
    const socket = connect({host: HOST, port});
    socket.write('GET /1 HTTP/1.1\r\nHost: h\r\n\r\n');
    await new Promise(resolve => setTimeout(resolve, 30));
    // The first response is still being written.
    socket.write('GET /2 HTTP/1.1\r\nHost: h\r\n\r\n');
    await new Promise(resolve => setTimeout(resolve, 30));
    socket.resume();
    await once(socket, 'close');
    server.stopAccepting();
    expect(handled).to.deep.equal(['/1']);
  });

  // The process ended while responses were still being written; those without a
  // length looked complete.
  it('counts a request as in flight until its response is written', async () => {
    const {server, port} = await listen(() =>
      Promise.resolve(answer('x'.repeat(LONG_BODY_BYTES), false)),
    );
    const socket = connect({host: HOST, port});
    socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
    await new Promise(resolve => setTimeout(resolve, 100));
    expect(server.getInFlightCount()).to.equal(1);
    let receivedBytes = 0;
    socket.on('data', (chunk: Buffer) => (receivedBytes += chunk.byteLength));
    await once(socket, 'end');
    expect(receivedBytes).to.be.above(LONG_BODY_BYTES);
    expect(server.getInFlightCount()).to.equal(0);
    server.stopAccepting();
  });

  // To http.Server, a connection is idle once its response has been passed to end(),
  // and what was not written yet was lost when the idle connections were closed.
  it('stops accepting without cutting responses that are being written', async () => {
    const {server, port} = await listen(() =>
      Promise.resolve(answer('x'.repeat(LONG_BODY_BYTES), false)),
    );
    const socket = connect({host: HOST, port});
    socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
    await new Promise(resolve => setTimeout(resolve, 100));
    server.requestClose(Infinity);
    server.stopAccepting();
    let receivedBytes = 0;
    socket.on('data', (chunk: Buffer) => (receivedBytes += chunk.byteLength));
    await once(socket, 'end');
    expect(receivedBytes).to.be.above(LONG_BODY_BYTES);
  });

  it('closes a kept connection without a request when it stops accepting', async () => {
    const {server, port} = await listen(() =>
      Promise.resolve(answer('ok', true)),
    );
    const socket = connect({host: HOST, port});
    socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
    await once(socket, 'data');
    await new Promise(resolve => setTimeout(resolve, 50));
    server.stopAccepting();
    await once(socket, 'close');
  });

  it('resets what is not written at the end, so that it looks cut', async () => {
    const {server, port} = await listen(() =>
      Promise.resolve(answer('x'.repeat(LONG_BODY_BYTES), false)),
    );
    const socket = connect({host: HOST, port});
    socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
    await new Promise(resolve => setTimeout(resolve, 100));
    server.stopAccepting();
    // A client of this runtime that reads slowly reports a reset as a clean end.
    const original = Reflect.get(Socket.prototype, 'resetAndDestroy');
    let resetCount = 0;
    Socket.prototype.resetAndDestroy = function countReset(this: Socket) {
      resetCount += 1;
      return original.call(this);
    };
    server.abortInFlight();
    Socket.prototype.resetAndDestroy = original;
    expect(resetCount).to.equal(1);
    socket.resume();
    await once(socket, 'close');
    await new Promise(resolve => setTimeout(resolve, 50));
    expect(server.getInFlightCount()).to.equal(0);
  });

  it('drops the requests of callers that have left', async () => {
    const {server, port} = await listen(() => new Promise(() => undefined));
    const socket = connect({host: HOST, port});
    const head = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';
    socket.write(head + head);
    await new Promise(resolve => setTimeout(resolve, 50));
    expect(server.getInFlightCount()).to.equal(2);
    socket.destroy();
    await new Promise(resolve => setTimeout(resolve, 50));
    expect(server.getInFlightCount()).to.equal(0);
    server.stopAccepting();
  });

  it('tells the entry until when requests can be completed', async () => {
    const limits: number[] = [];
    const {server, port} = await listen(({serveUntilMs}) => {
      limits.push(serveUntilMs);
      return Promise.resolve(answer('ok', true));
    });
    const socket = connect({host: HOST, port});
    socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
    await once(socket, 'data');
    server.requestClose(5_000);
    socket.write(FINAL_REQUEST);
    socket.resume();
    await once(socket, 'close');
    server.stopAccepting();
    expect(limits).to.deep.equal([Infinity, 5_000]);
  });

  // The runtime accepts one connection a turn. In a storm of new connections, requests
  // were read long after their callers had left, though no turn was late.
  it('routes no first request of a connection whose caller has left', async () => {
    expect(await countHandled(20, 0)).to.equal(0);
  });

  it('responds to a refused request with status 503 and Retry-After', async () => {
    const received = await exchange(
      () =>
        Promise.resolve({
          kind: 'refused',
          reason: 'overloaded',
          retryAfterMs: 120,
        }),
      FINAL_REQUEST,
    );
    expect(received).to.match(/^HTTP\/1\.1 503 /);
    expect(received).to.match(/retry-after: 0\.120/i);
  });

  it('rejects requests that exceed the limits without handling them', async () => {
    const limits = {
      ...DEFAULT_CALLER_LIMITS,
      maxHeaderBytes: 200,
      maxBodyBytes: 4,
    };
    let handled = 0;
    const handle = () => {
      handled += 1;
      return Promise.resolve(answer('ok', true));
    };
    const longHeader = `GET / HTTP/1.1\r\nHost: h\r\nX-Long: ${'x'.repeat(300)}\r\n\r\n`;
    const withLength =
      'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello';
    const chunked =
      'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n' +
      '3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n';
    expect(await exchange(handle, longHeader, limits)).to.match(
      /^HTTP\/1\.1 431 /,
    );
    expect(await exchange(handle, withLength, limits)).to.match(
      /^HTTP\/1\.1 413 /,
    );
    expect(await exchange(handle, chunked, limits)).to.match(
      /^HTTP\/1\.1 413 /,
    );
    expect(handled).to.equal(0);
  });

  it('responds with status 404 and no Retry-After only to unknown routes', async () => {
    const refuseAs = (reason: RefusalReason) => () =>
      Promise.resolve<RelayOutcome>({
        kind: 'refused',
        reason,
        retryAfterMs: 400,
      });
    const notFound = await exchange(refuseAs('no-route'), FINAL_REQUEST);
    expect(notFound).to.match(/^HTTP\/1\.1 404 /);
    expect(notFound).not.to.match(/retry-after/i);
    const unavailable = await exchange(
      refuseAs('no-configuration'),
      FINAL_REQUEST,
    );
    expect(unavailable).to.match(/^HTTP\/1\.1 503 /);
    expect(unavailable).to.match(/retry-after: 0\.400/i);
  });

  it('responds with status 502 or 504 if the request may have run', async () => {
    const loseAs = (reason: LossReason) => () =>
      Promise.resolve<RelayOutcome>({kind: 'lost', reason});
    expect(await exchange(loseAs('timeout'), FINAL_REQUEST)).to.match(
      /^HTTP\/1\.1 504 /,
    );
    for (const reason of ['target-lost', 'link-lost', 'answer-cut'] as const) {
      expect(await exchange(loseAs(reason), FINAL_REQUEST)).to.match(
        /^HTTP\/1\.1 502 /,
      );
    }
  });
});
