/**
 * Worker thread with a target and callers, which go on while the event loop of the
 * daemon under test stands still.
 */

import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Socket} from 'node:net';
import {parentPort} from 'node:worker_threads';

/** What the test tells the worker. */
export type OutsideCommand =
  /** Opens connections, and lets some of them have one response. */
  | {
      readonly kind: 'open';
      readonly port: number;
      readonly keptCount: number;
      readonly unusedCount: number;
    }
  /** Sends one request on each connection and on some new ones. */
  | {readonly kind: 'send'; readonly newCount: number}
  /** Lets the target respond to the requests that it has. */
  | {readonly kind: 'respond'};

/** What the worker tells the test. */
export type OutsideReport =
  | {readonly kind: 'listening'; readonly port: number}
  | {readonly kind: 'opened'}
  /** The target has the given number of requests. */
  | {readonly kind: 'running'; readonly count: number}
  | {readonly kind: 'result'; readonly result: CallerResult};

/** How a request of a caller ended. */
export interface CallerResult {
  /** How the connection was used before. */
  readonly use: 'kept' | 'unused' | 'new';
  /** Status line; empty if the connection ended without a response. */
  readonly statusLine: string;
}

const HOST = '127.0.0.1';
const REQUEST = 'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok';
const WARM_UP_PATH = '/warm-up';
const WARM_UP = `GET ${WARM_UP_PATH} HTTP/1.1\r\nHost: h\r\n\r\n`;

/** A caller with one connection. */
class Caller {
  private readonly socket = new Socket();
  private received = '';

  constructor(
    readonly use: CallerResult['use'],
    private readonly port: number,
  ) {
    this.socket.setEncoding('utf8');
    this.socket.on('data', (text: string) => {
      this.received += text;
    });
    this.socket.on('error', () => undefined);
  }

  async open(): Promise<void> {
    this.socket.connect({host: HOST, port: this.port});
    if (this.use === 'new') return;
    await once(this.socket, 'connect');
    if (this.use === 'unused') return;
    const response = this.readHead();
    this.socket.write(WARM_UP);
    await response;
  }

  /** Sends the request and waits for the response or the end of the connection. */
  async send(): Promise<CallerResult> {
    const response = this.readHead();
    this.socket.write(REQUEST);
    const statusLine = (await response).split('\r\n')[0] ?? '';
    return {use: this.use, statusLine};
  }

  // Resolves to an empty text if the connection ends without a whole head.
  private readHead(): Promise<string> {
    this.received = '';
    return new Promise(resolve => {
      this.socket.on('data', () => {
        if (this.received.includes('\r\n\r\n')) resolve(this.received);
      });
      this.socket.once('close', () => resolve(''));
    });
  }
}

function report(message: OutsideReport): void {
  parentPort?.postMessage(message);
}

/** Runs the target and the callers as the test tells. */
async function run(): Promise<void> {
  const callers: Caller[] = [];
  const waiting: Array<() => void> = [];
  const target = createServer((request, response) => {
    request.resume();
    if (request.url === WARM_UP_PATH) {
      response.end('done');
      return;
    }
    waiting.push(() => response.end('done'));
    report({kind: 'running', count: waiting.length});
  });
  target.listen(0, HOST);
  await once(target, 'listening');
  let callerPort = 0;
  const open = async (use: CallerResult['use'], count: number) => {
    for (let index = 0; index < count; index += 1) {
      const caller = new Caller(use, callerPort);
      callers.push(caller);
      await caller.open();
    }
  };
  const handle = async (command: OutsideCommand) => {
    switch (command.kind) {
      case 'open':
        callerPort = command.port;
        await open('kept', command.keptCount);
        await open('unused', command.unusedCount);
        report({kind: 'opened'});
        return;
      case 'send':
        await open('new', command.newCount);
        for (const caller of callers) {
          void caller.send().then(result => report({kind: 'result', result}));
        }
        return;
      case 'respond':
        for (const respond of waiting) respond();
        return;
    }
  };
  parentPort?.on('message', (command: OutsideCommand) => void handle(command));
  report({
    kind: 'listening',
    port: (target.address() as AddressInfo).port,
  });
}

await run();
