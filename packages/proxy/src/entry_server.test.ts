import {once} from 'node:events';
import {connect} from 'node:net';
import type {ServiceRecord} from '@cassiaknot/inventory';
import {expect} from 'chai';
import {Registry} from 'prom-client';
import type {EntryRequest, ProxyEntry} from './entry.js';
import {newEntryHandler} from './entry_server.js';
import {HttpServer} from './http_server.js';
import {ProxyMeter} from './meter.js';
import {notRun} from './outcome.js';

const HOST = '127.0.0.1';
const RUN_MS = 100;
const TIMEOUT_MS = 1_000;
const SERVICE = {timeoutMs: TIMEOUT_MS} as ServiceRecord;

describe('Entry server', () => {
  // Targets were given time that a pipelined request had spent waiting.
  it('counts the wait of a pipelined request against its deadline', async () => {
    const remainingMs: number[] = [];
    const entry = {
      handle: async (request: EntryRequest) => {
        const deadline = request.startDeadline(SERVICE);
        remainingMs.push(deadline.getRemainingMs());
        await new Promise(resolve => setTimeout(resolve, RUN_MS));
        return notRun('no-target');
      },
    } as unknown as ProxyEntry;
    const server = new HttpServer(
      newEntryHandler(entry, new ProxyMeter(new Registry())),
    );
    const port = await server.listen({host: HOST, port: 0, idleTimeoutMs: 500});
    const socket = connect({host: HOST, port});
    socket.resume();
    const newHead = (option: string) =>
      `GET / HTTP/1.1\r\nHost: h\r\nConnection: ${option}\r\n\r\n`;
    socket.write(newHead('keep-alive') + newHead('close'));
    await once(socket, 'close');
    await server.stop(0);
    expect(remainingMs).to.have.length(2);
    // Timers may run up to a millisecond early.
    expect(remainingMs[1]).to.be.at.most(TIMEOUT_MS - RUN_MS + 2);
  });
});
