import {once} from 'node:events';
import {connect} from 'node:net';
import {expect} from 'chai';
import type {CallerRequest} from './entry_types.js';
import type {RelayOutcome} from './outcome.js';
import {newRefusal} from './outcome.js';
import {HOST, answer, listen} from './testing/caller_server_fixture.js';

const BODY_BYTES = 300_000;
const LAST = 'GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n';

function handle({path}: CallerRequest): Promise<RelayOutcome> {
  if (path === '/last') return Promise.resolve(answer('last', true));
  if (path === '/quota') return Promise.resolve(newRefusal('over-quota', 250));
  return Promise.resolve(newRefusal('unknown-key', 0));
}

/** Sends text and returns the status lines and headers that come back. */
async function exchange(text: string): Promise<string> {
  const {server, port} = await listen(handle);
  const socket = connect({host: HOST, port});
  let received = '';
  socket.setEncoding('utf8');
  socket.on('data', (chunk: string) => (received += chunk));
  socket.write(text);
  await once(socket, 'close');
  server.stopAccepting();
  return received;
}

function getStatuses(received: string): string[] {
  return [...received.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(
    match => match[1] ?? '',
  );
}

describe('Refusals by key and quota', () => {
  it('a missing key is answered with 401 and a challenge, not with a retry', async () => {
    const received = await exchange(
      `GET /x HTTP/1.1\r\nHost: h\r\n\r\n${LAST}`,
    );
    expect(getStatuses(received)).to.deep.equal(['401', '200']);
    expect(received).to.match(/www-authenticate: Bearer\r\n/i);
    expect(received).not.to.match(/retry-after/i);
  });

  // Without the time, refused callers come back at once, all together.
  it('a request over its quota is answered with 429 and the time to retry', async () => {
    const received = await exchange(
      `GET /quota HTTP/1.1\r\nHost: h\r\n\r\n${LAST}`,
    );
    expect(getStatuses(received)).to.deep.equal(['429', '200']);
    expect(received).to.match(/retry-after: 0\.250\r\n/i);
  });

  // A body that is left unread is parsed as the next request of the connection.
  it('401 with a body leaves the connection to the pipelined requests', async () => {
    const body = 'GET /'.repeat(BODY_BYTES / 5);
    const withLength =
      'POST /x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer no\r\n' +
      `Content-Length: ${body.length}\r\n\r\n${body}`;
    const chunked =
      'POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n' +
      `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
    const expecting =
      'POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n' +
      'Content-Length: 5\r\n\r\nGET /';
    const received = await exchange(withLength + chunked + expecting + LAST);
    const statuses = getStatuses(received).filter(status => status !== '100');
    expect(statuses).to.deep.equal(['401', '401', '401', '200']);
  });
});
