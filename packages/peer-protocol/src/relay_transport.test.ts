import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {createServer} from 'node:net';
import {brandId} from '@cassiaknot/inventory';
import {expect} from 'chai';
import {WebSocket} from 'ws';
import type {GateAddress} from './addresses.js';
import type {RelayFrame} from './relay_frames.js';
import type {RelayLink} from './relay_transport.js';
import {WebSocketRelayTransport} from './relay_transport.js';

const HOST = '127.0.0.1';
/** More than a connection buffers between two processes. */
const LONG_BODY_BYTES = 32 * 1024 * 1024;

const ANSWER: RelayFrame = {
  kind: 'answer',
  callId: brandId('1'),
  statusCode: 200,
  headers: [],
  body: new Uint8Array(LONG_BODY_BYTES),
  isFramed: true,
  waitMs: 0,
  runMs: 1,
};

async function findFreeAddress(): Promise<GateAddress> {
  const server = createServer().listen(0, HOST);
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return brandId<GateAddress>(`${HOST}:${port}`);
}

describe('Relay transport', () => {
  // A planned stop ended the process with responses in the buffers of its links.
  it('counts frames until they are sent, and delivers them when it closes', async () => {
    const transport = new WebSocketRelayTransport();
    const address = await findFreeAddress();
    const opened = new Promise<RelayLink>(resolve => {
      void transport.listen(address, {
        onOpen: resolve,
        onFrame: () => undefined,
        onClose: () => undefined,
      });
    });
    const peer = new WebSocket(`ws://${address}`);
    let receivedBytes = 0;
    peer.on('message', (data: Buffer) => (receivedBytes += data.byteLength));
    const link = await opened;
    peer.pause();
    expect(transport.getBufferedBytes()).to.equal(0);
    link.send(ANSWER);
    expect(transport.getBufferedBytes()).to.be.above(0);
    peer.resume();
    await transport.close();
    expect(transport.getBufferedBytes()).to.equal(0);
    expect(receivedBytes).to.be.above(LONG_BODY_BYTES);
  });
});
