import {connect} from 'node:net';
import {expect} from 'chai';
import {DEFAULT_CALLER_LIMITS} from './caller_limits.js';
import {HOST, answer, listen} from './testing/caller_server_fixture.js';

/** Part of the grace period of a stop that is reserved for the last writes. */
const FINAL_RESERVE_MS = 600;
/** Time until which the step may take. */
const LIMIT_MS = 200;
/** Turns of the event loop of a busy process. */
const TURN_MS = 25;
const IDLE_TIMEOUT_MS = 300;

function pauseLoop(durationMs: number): void {
  const untilMs = performance.now() + durationMs;
  while (performance.now() < untilMs);
}

describe('Caller server with a late event loop', () => {
  // A loop that stayed busy kept a planned stop in this step past its grace period.
  it('reads what has arrived for no longer than a stop has left', async () => {
    const {server} = await listen(() => Promise.resolve(answer('x', true)));
    let isBusy = true;
    const work = () => {
      pauseLoop(TURN_MS);
      if (isBusy) setImmediate(work);
    };
    work();
    const startedAtMs = performance.now();
    const timer = setTimeout(() => {
      isBusy = false;
    }, 4 * FINAL_RESERVE_MS);
    await server.readArrived(startedAtMs + LIMIT_MS);
    const tookMs = performance.now() - startedAtMs;
    clearTimeout(timer);
    isBusy = false;
    server.stopAccepting();
    expect(tookMs).to.be.below(FINAL_RESERVE_MS);
  });

  // The runtime's timer of an idle connection ran before the request was read that had
  // arrived long before, and reset the connection.
  it('answers a request that arrived before its connection timed out', async () => {
    const {server, port} = await listen(
      ({path}) => Promise.resolve(answer(path, true)),
      {...DEFAULT_CALLER_LIMITS, idleTimeoutMs: IDLE_TIMEOUT_MS},
    );
    const socket = connect({host: HOST, port});
    let received = '';
    const newHead = (path: string) => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;
    const closed = new Promise(resolve => socket.once('close', resolve));
    socket.on('error', () => undefined);
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString();
      if (received.includes('/2')) socket.end();
      else {
        socket.write(newHead('/2'));
        // Node 20 adds up to a second to the timeout.
        setImmediate(() => pauseLoop(IDLE_TIMEOUT_MS + 2_000));
      }
    });
    socket.write(newHead('/1'));
    await closed;
    server.stopAccepting();
    expect(received.match(/response-id: \/\d/gi)).to.have.length(2);
  });
});
