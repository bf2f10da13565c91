import {once} from 'node:events';
import type {Server} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Socket, connect} from 'node:net';
import {expect} from 'chai';
import {HOST, MeshDaemons, waitUntil} from '../testing/mesh_daemons.js';

const GRACE_PERIOD_MS = 6_000;
const TIMEOUT_MS = 1_000;
/** Longer than the daemon takes to end after it has found nothing in flight. */
const RUN_MS = 600;
const REQUEST_HEAD = 'POST /late HTTP/1.1\r\nHost: h\r\n';
const REQUEST_REST = 'Content-Length: 2\r\n\r\nok';

/** A target that counts the requests that reach it. */
class CountingTarget {
  runCount = 0;
  private readonly server: Server = createServer((_request, response) => {
    this.runCount += 1;
    setTimeout(() => response.end('done'), RUN_MS);
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

/** Sends a whole request and returns the status line of the response. */
async function request(port: number): Promise<string> {
  const socket = connect({host: HOST, port});
  socket.write(`${REQUEST_HEAD}Connection: close\r\n${REQUEST_REST}`);
  return readStatusLine(socket);
}

async function readStatusLine(socket: Socket): Promise<string> {
  let received = '';
  socket.setEncoding('utf8');
  socket.on('data', (text: string) => {
    received += text;
  });
  await once(socket, 'close');
  return received.split('\r\n')[0] ?? '';
}

describe('Planned stop', () => {
  let target: CountingTarget;
  let mesh: MeshDaemons;

  beforeEach(async () => {
    target = new CountingTarget();
    mesh = new MeshDaemons();
    await mesh.commit(TIMEOUT_MS);
  });

  afterEach(async () => {
    await mesh.stop();
    target.close();
  });

  // A stop found nothing in flight and ended the process shortly afterwards. Requests
  // that became complete in between were passed on and cut by the end of the process.
  it('passes no request on after it has found nothing in flight', async () => {
    const targetPort = await target.listen();
    const gracePeriodMs = GRACE_PERIOD_MS;
    const late = new Socket();
    const [other, stopping] = await Promise.all([
      mesh.start({instanceId: 'other', targetPort, gracePeriodMs}),
      mesh.start({
        instanceId: 'stopping',
        targetPort,
        gracePeriodMs,
        onLine: line => {
          if (line.includes('"stopped"')) late.write(REQUEST_REST);
        },
      }),
    ]);
    other.announceTarget();
    // The stopping daemon has passed a request on to the other one.
    await waitUntil(async () => {
      return (await request(stopping.callerPort)) === 'HTTP/1.1 200 OK';
    });
    target.runCount = 0;
    late.connect({host: HOST, port: stopping.callerPort});
    await once(late, 'connect');
    late.write(REQUEST_HEAD);
    const [isGraceful, statusLine] = await Promise.all([
      stopping.stop(),
      readStatusLine(late),
    ]);
    expect(isGraceful).to.equal(true);
    expect(target.runCount).to.equal(0);
    expect(statusLine).to.equal('HTTP/1.1 503 Service Unavailable');
  });
});
