import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {connect, createServer} from 'node:net';
import {expect} from 'chai';
import type {CallerLimits} from './caller_server.js';
import {CallerServer, DEFAULT_CALLER_LIMITS} from './caller_server.js';
import type {Dialect} from './dialect.js';
import type {Entry} from './entry.js';
import type {CallerRequest} from './entry_types.js';
import type {RelayObserver} from './observer.js';
import type {LossReason, RefusalReason, RelayOutcome} from './outcome.js';

const HOST = '127.0.0.1';

const OBSERVER: RelayObserver = {
  decide: () => undefined,
  count: () => undefined,
  measure: () => undefined,
};

const DIALECT: Dialect = {
  withheldRequestHeaders: new Set(['request-id']),
  withheldAnswerHeaders: new Set(),
  readCaller: headers => ({
    requestId: String(headers['request-id'] ?? ''),
    deadlineMs: undefined,
  }),
  writeTargetFields: () => [],
  judgeResponse: () => ({kind: 'answer'}),
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

/** Serves by a function and returns what one connection receives. */
async function exchange(
  handle: (request: CallerRequest) => Promise<RelayOutcome>,
  text: string,
  limits: CallerLimits = DEFAULT_CALLER_LIMITS,
): Promise<string> {
  const entry = {
    handle,
    options: {getConfiguration: () => ({state: {version: 1}})},
  } as unknown as Entry;
  const server = new CallerServer({
    entry,
    dialect: DIALECT,
    observer: OBSERVER,
    getLimits: () => limits,
  });
  const port = await findFreePort();
  await server.listen(HOST, port);
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

function answer(body: string, isFramed: boolean): RelayOutcome {
  return {
    kind: 'answered',
    statusCode: 200,
    headers: ['Response-Id', body],
    body: Buffer.from(body),
    isFramed,
  };
}

const LAST = 'GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n';

describe('Caller server', () => {
  it('answers pipelined requests in the order in which they came', async () => {
    const received = await exchange(async request => {
      if (request.path === '/first') {
        await new Promise(resolve => setTimeout(resolve, 30));
      }
      return answer(request.path, true);
    }, `GET /first HTTP/1.1\r\nHost: h\r\n\r\n${LAST}`);
    const first = received.indexOf('Response-Id: /first');
    expect(first).to.be.at.least(0);
    expect(received.indexOf('Response-Id: /last')).to.be.above(first);
  });

  it('vouches for no end that the target did not state', async () => {
    const received = await exchange(
      () => Promise.resolve(answer('part', false)),
      'GET / HTTP/1.1\r\nHost: h\r\n\r\n',
    );
    expect(received).to.match(/connection: close/i);
    expect(received).not.to.match(/content-length|transfer-encoding/i);
    expect(received.endsWith('\r\n\r\npart')).to.equal(true);
  });

  it('passes on the body whole, whether counted or in chunks', async () => {
    const bodies: string[] = [];
    const handle = (request: CallerRequest) => {
      bodies.push(Buffer.from(request.body).toString());
      return Promise.resolve(answer('ok', true));
    };
    const counted =
      'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello';
    const chunked =
      'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n' +
      '2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n';
    await exchange(handle, counted + chunked + LAST);
    expect(bodies).to.have.members(['hello', 'hello', '']);
  });

  it('says when to come back, and that nothing was run', async () => {
    const received = await exchange(
      () =>
        Promise.resolve({
          kind: 'refused',
          reason: 'overloaded',
          retryAfterMs: 120,
        }),
      LAST,
    );
    expect(received).to.match(/^HTTP\/1\.1 503 /);
    expect(received).to.match(/retry-after: 0\.120/i);
  });

  it('refuses larger requests than the limits allow, and runs none', async () => {
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
    const counted =
      'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello';
    const chunked =
      'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n' +
      '3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n';
    expect(await exchange(handle, longHeader, limits)).to.match(
      /^HTTP\/1\.1 431 /,
    );
    expect(await exchange(handle, counted, limits)).to.match(
      /^HTTP\/1\.1 413 /,
    );
    expect(await exchange(handle, chunked, limits)).to.match(
      /^HTTP\/1\.1 413 /,
    );
    expect(handled).to.equal(0);
  });

  it('denies a route only by name, never with a time to return', async () => {
    const refuseAs = (reason: RefusalReason) => () =>
      Promise.resolve<RelayOutcome>({
        kind: 'refused',
        reason,
        retryAfterMs: 400,
      });
    const denied = await exchange(refuseAs('no-route'), LAST);
    expect(denied).to.match(/^HTTP\/1\.1 404 /);
    expect(denied).not.to.match(/retry-after/i);
    const unknown = await exchange(refuseAs('no-configuration'), LAST);
    expect(unknown).to.match(/^HTTP\/1\.1 503 /);
    expect(unknown).to.match(/retry-after: 0\.400/i);
  });

  it('promises nothing where the request may have run', async () => {
    const loseAs = (reason: LossReason) => () =>
      Promise.resolve<RelayOutcome>({kind: 'lost', reason});
    expect(await exchange(loseAs('timeout'), LAST)).to.match(
      /^HTTP\/1\.1 504 /,
    );
    for (const reason of ['target-lost', 'link-lost', 'answer-cut'] as const) {
      expect(await exchange(loseAs(reason), LAST)).to.match(/^HTTP\/1\.1 502 /);
    }
  });
});
