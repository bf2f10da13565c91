import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {createServer} from 'node:net';
import {brandId} from '@cassiaknot/inventory';
import {expect} from 'chai';
import {WebSocket} from 'ws';
import type {GateAddress} from './addresses.js';
import type {BodyMemory} from './body_transfers.js';
import type {RelayFrame, RelayFrameOf} from './relay_frames.js';
import type {RelayLink} from './relay_transport.js';
import {WebSocketRelayTransport} from './relay_transport.js';

const HOST = '127.0.0.1';
/** More than a connection buffers between two processes. */
const LONG_BODY_BYTES = 32 * 1024 * 1024;

const ANSWER: RelayFrameOf<'answer'> = {
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

  describe('long bodies', () => {
    const transports: WebSocketRelayTransport[] = [];

    afterEach(() => Promise.all(transports.map(each => each.close())));

    /** Opens a link; returns its dialling end, and the frames at both ends. */
    async function open(gateMemory?: BodyMemory) {
      const gate = new WebSocketRelayTransport(gateMemory);
      const entry = new WebSocketRelayTransport();
      transports.push(gate, entry);
      const gateFrames: RelayFrame[] = [];
      const entryFrames: RelayFrame[] = [];
      const address = await findFreeAddress();
      let gateLink: RelayLink | undefined;
      await gate.listen(address, {
        onOpen: opened => {
          gateLink = opened;
        },
        onFrame: (_link, frame) => gateFrames.push(frame),
        onClose: () => undefined,
      });
      const link = await new Promise<RelayLink>(resolve => {
        entry.dial(address, {
          onOpen: resolve,
          onFrame: (_link, frame) => entryFrames.push(frame),
          onClose: () => undefined,
        });
      });
      return {link, gateLink, gateFrames, entryFrames, entry};
    }

    async function waitFor(hasArrived: () => boolean): Promise<void> {
      while (!hasArrived()) {
        await new Promise(resolve => setTimeout(resolve, 5));
      }
    }

    function newOffer(callId: string, seed: number): RelayFrameOf<'offer'> {
      const body = new Uint8Array(3_000_000 + seed);
      for (let index = 0; index < body.byteLength; index += 1) {
        body[index] = (index * 31 + seed) % 251;
      }
      return {
        kind: 'offer',
        callId: brandId(callId),
        requestId: callId,
        serviceId: brandId('s'),
        ruleId: brandId('r'),
        method: 'POST',
        path: '/',
        headers: [],
        body,
        callerServiceId: 'c',
        remainingMs: 1,
        maxWaitMs: 1,
        objectiveMs: 1,
        objectiveLeftMs: 1,
        urgency: 1,
        isIdempotent: true,
      };
    }

    it('arrive unchanged, several at once and in both directions', async () => {
      const {link, gateLink, gateFrames, entryFrames} = await open();
      const offers = [newOffer('1', 1), newOffer('2', 2)];
      for (const offer of offers) link.send(offer);
      gateLink?.send({...ANSWER, body: offers[0]?.body ?? new Uint8Array()});
      await waitFor(() => gateFrames.length + entryFrames.length === 3);
      for (const frame of gateFrames) {
        if (frame.kind !== 'offer') expect.fail(frame.kind);
        const sent = offers.find(({callId}) => callId === frame.callId);
        expect(Buffer.compare(frame.body, sent?.body ?? ANSWER.body)).to.equal(
          0,
        );
      }
      expect(entryFrames.map(({kind}) => kind)).to.deep.equal(['answer']);
    });

    // A cancel that overtook its offer would let the request run for nobody.
    it('are not delivered once their offer is cancelled', async () => {
      const {link, gateFrames, entry} = await open();
      const offer = {...newOffer('1', 1), body: ANSWER.body};
      link.send(offer);
      link.send({kind: 'cancel', callId: offer.callId});
      link.send({kind: 'ping', nonce: 1});
      await waitFor(() => gateFrames.length > 0);
      expect(gateFrames.map(({kind}) => kind)).to.deep.equal(['ping']);
      expect(entry.getBufferedBytes()).to.equal(0);
    });

    it('are refused as not run if they do not fit into the memory', async () => {
      const {link, gateFrames, entryFrames} = await open({
        hold: () => undefined,
        countBytes: () => undefined,
      });
      link.send(newOffer('1', 1));
      await waitFor(() => entryFrames.length > 0);
      expect(gateFrames).to.deep.equal([]);
      expect(entryFrames).to.deep.equal([
        {
          kind: 'refusal',
          callId: '1',
          reason: 'no-memory',
          hasArrived: false,
          waitMs: 0,
          runMs: -1,
        },
      ]);
    });

    it('are delivered when the link is closed behind them', async () => {
      const {link, gateFrames} = await open();
      link.send(newOffer('1', 1));
      link.close();
      await waitFor(() => gateFrames.length > 0);
      expect(gateFrames.map(({kind}) => kind)).to.deep.equal(['offer']);
    });
  });
});
