/**
 * Worker thread with a target that goes on while the event loop of the test stands still. It
 * answers each connection with a response without a length.
 */

import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {createServer} from 'node:net';
import {parentPort, workerData} from 'node:worker_threads';

/** Settings of the target. */
export interface OutsideTargetOptions {
  readonly bodyBytes: number;
  /** How each response ends. */
  readonly end: 'fin' | 'reset';
}

const HOST = '127.0.0.1';
const HEAD = 'HTTP/1.1 200 OK\r\n\r\n';
/** Time for the first bytes to arrive before a reset. */
const RESET_DELAY_MS = 5;

const {bodyBytes, end} = workerData as OutsideTargetOptions;
const response = HEAD + 'x'.repeat(bodyBytes);
const server = createServer(socket => {
  socket.on('error', () => undefined);
  socket.once('data', () => {
    if (end === 'fin') {
      socket.end(response);
      return;
    }
    socket.write(response);
    setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
  });
});
server.listen(0, HOST);
await once(server, 'listening');
parentPort?.postMessage((server.address() as AddressInfo).port);
