import type {IncomingMessage} from 'node:http';
import {ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {expect} from 'chai';
import {CallerConnection} from './caller_connection.js';

const REQUEST_COUNT = 50_000;
/** Less than one word for each request. */
const MAX_GROWTH_BYTES = 8 * REQUEST_COUNT;

function newGarbageCollector(): () => void {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
}

async function serve(
  connection: CallerConnection,
  requestCount: number,
): Promise<void> {
  const request = {method: 'GET', complete: true} as IncomingMessage;
  for (let count = 0; count < requestCount; count += 1) {
    const response = new ServerResponse(request);
    connection.admit(request, response, 'r');
    await connection.whenTurn(response, false);
    connection.endTurn(response);
    response.emit('close');
  }
}

describe('Connection of a caller', () => {
  // Each request left results of promises behind, nested in those of the next request,
  // until the connection ended.
  it('keeps nothing of the requests that are complete', async () => {
    const collectGarbage = newGarbageCollector();
    const connection = new CallerConnection(new Socket());
    await serve(connection, REQUEST_COUNT / 10);
    collectGarbage();
    const {heapUsed} = process.memoryUsage();
    await serve(connection, REQUEST_COUNT);
    collectGarbage();
    const growthBytes = process.memoryUsage().heapUsed - heapUsed;
    expect(connection.countInFlight()).to.equal(0);
    expect(growthBytes).to.be.below(MAX_GROWTH_BYTES);
  });
});
