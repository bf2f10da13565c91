import {once} from 'node:events';
import type {Server} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {connect} from 'node:net';
import {expect} from 'chai';
import {HOST, MeshDaemons, waitUntil} from '../testing/mesh_daemons.js';

const GRACE_PERIOD_MS = 4_000;
const TIMEOUT_MS = 10_000;
/**
 * The entry stops later than the gate, so that a run of this length ends after the
 * grace period of the gate, but before the last sixth of that of the entry.
 */
const ENTRY_STOPS_AFTER_MS = 1_000;
const REQUESTS_AFTER_MS = 100;
const RUN_MS = 2_900;
const SHORT_RUN_MS = 50;
const REQUEST_COUNT = 12;
const LONG_PATH = '/long';
const SHORT_PATH = '/short';

/** A target that takes some time for the long requests. */
class Target {
  runCount = 0;
  private readonly server: Server = createServer((request, response) => {
    this.runCount += 1;
    const runMs = request.url === LONG_PATH ? RUN_MS : SHORT_RUN_MS;
    setTimeout(() => response.end('done'), runMs);
  });

  async listen(): Promise<number> {
    this.server.listen(0, HOST);
    await once(this.server, 'listening');
    return (this.server.address() as AddressInfo).port;
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** Sends a request and returns the status line of the response. */
async function request(port: number, path: string): Promise<string> {
  const socket = connect({host: HOST, port});
  let received = '';
  socket.setEncoding('utf8');
  socket.on('data', (text: string) => {
    received += text;
  });
  socket.on('error', () => undefined);
  socket.write(
    `POST ${path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n` +
      'Content-Length: 2\r\n\r\nok',
  );
  await once(socket, 'close');
  return received.split('\r\n')[0] ?? '';
}

/** Sends requests at once, so that they are distributed. */
function sendAll(port: number, path: string): Promise<string[]> {
  return Promise.all(
    Array.from({length: REQUEST_COUNT}, () => request(port, path)),
  );
}

function sleep(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}

describe('Overlapping planned stops', () => {
  const targets: Target[] = [];
  let mesh: MeshDaemons;

  beforeEach(async () => {
    mesh = new MeshDaemons();
    await mesh.commit(TIMEOUT_MS);
  });

  afterEach(async () => {
    await mesh.stop();
    for (const target of targets) target.close();
  });

  async function startDaemon(instanceId: string) {
    const target = new Target();
    targets.push(target);
    const targetPort = await target.listen();
    const gracePeriodMs = GRACE_PERIOD_MS;
    const daemon = await mesh.start({instanceId, targetPort, gracePeriodMs});
    return {daemon, target};
  }

  // A stopping daemon ran requests for longer than it had left. Their entry, which was
  // about to stop as well, answered with a failure while the target was at work.
  it('run no request at a daemon that ends before the request', async () => {
    const [gate, other, entry] = await Promise.all([
      startDaemon('gate'),
      startDaemon('other'),
      startDaemon('entry'),
    ]);
    gate.daemon.announceTarget();
    other.daemon.announceTarget();
    const {callerPort} = entry.daemon;
    // The entry passes requests on to both.
    await waitUntil(async () => {
      await sendAll(callerPort, SHORT_PATH);
      return gate.target.runCount > 0 && other.target.runCount > 0;
    });
    void gate.daemon.stop();
    await sleep(ENTRY_STOPS_AFTER_MS);
    const stopped = entry.daemon.stop();
    await sleep(REQUESTS_AFTER_MS);
    const statusLines = await sendAll(callerPort, LONG_PATH);
    const expected = Array.from(
      {length: REQUEST_COUNT},
      () => 'HTTP/1.1 200 OK',
    );
    expect(statusLines).to.deep.equal(expected);
    expect(await stopped).to.equal(true);
  });
});
