import {once} from 'node:events';
import {connect} from 'node:net';
import {expect} from 'chai';
import {DEFAULT_CALLER_LIMITS} from './caller_limits.js';
import type {LogFields, RelayObserver} from './observer.js';
import {HOST, answer, listen} from './testing/caller_server_fixture.js';

/** Keeps the lines about requests that were cut. */
class CutLog implements RelayObserver {
  readonly lines: LogFields[] = [];

  log(_level: string, _part: string, event: string, fields: LogFields): void {
    if (event === 'cut') this.lines.push(fields);
  }

  count(): void {}

  measure(): void {}
}

describe('Requests cut by a stop', () => {
  // A stop that cut a request left no line with its id, so that the ways to cut one
  // could not be told apart.
  it('are logged with their id, connection and progress', async () => {
    const log = new CutLog();
    const {server, port} = await listen(
      ({path}) =>
        path === '/1'
          ? Promise.resolve(answer('ok', true))
          : new Promise(() => undefined),
      DEFAULT_CALLER_LIMITS,
      0,
      log,
    );
    const socket = connect({host: HOST, port});
    socket.on('error', () => undefined);
    const newHead = (path: string, id: string) =>
      `GET ${path} HTTP/1.1\r\nHost: h\r\nRequest-Id: ${id}\r\n\r\n`;
    socket.write(newHead('/1', 'a1'));
    await once(socket, 'data');
    socket.write(newHead('/2', 'b2'));
    await new Promise(resolve => setTimeout(resolve, 50));
    expect(server.abortInFlight()).to.equal(1);
    server.stopAccepting();
    await new Promise(resolve => socket.once('close', resolve));
    const [line] = log.lines;
    expect(log.lines).to.have.length(1);
    expect(line).to.include({
      requestId: 'b2',
      position: 2,
      hasAnswer: false,
      writtenBytes: 0,
    });
    expect(line?.ageMs).to.be.at.most(Number(line?.connectionAgeMs));
  });

  // Requests behind a response without a length are cut with its connection.
  it('are logged behind a response without a length, those before it are not', async () => {
    const log = new CutLog();
    const {server, port} = await listen(
      async ({path}) => {
        const delayMs = path === '/2' ? 10 : 60;
        await new Promise(resolve => setTimeout(resolve, delayMs));
        return answer(path, path !== '/2');
      },
      DEFAULT_CALLER_LIMITS,
      0,
      log,
      () => true,
    );
    const socket = connect({host: HOST, port});
    const newHead = (path: string, id: string) =>
      `GET ${path} HTTP/1.1\r\nHost: h\r\nRequest-Id: ${id}\r\n\r\n`;
    socket.write(newHead('/1', 'a') + newHead('/2', 'b') + newHead('/3', 'c'));
    socket.resume();
    await new Promise(resolve => socket.once('close', resolve));
    server.stopAccepting();
    expect(log.lines.map(({requestId}) => requestId)).to.deep.equal(['c']);
  });
});
