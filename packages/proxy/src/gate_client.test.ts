import type {InstanceId, ServiceId} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import type {GateAddress} from '@cassiaknot/peer-protocol';
import {expect} from 'chai';
import {Deadline} from './deadline.js';
import {HttpGateClient} from './gate_client.js';
import {CALL_ID_HEADER, OUTCOME_HEADER, REASON_HEADER} from './headers.js';
import type {RequestHandler} from './http_server.js';
import {HttpServer} from './http_server.js';
import {refuseWhileDraining} from './write_outcome.js';

const HOST = '127.0.0.1';
const TIMEOUT_MS = 5_000;
const REFUSAL_FIELDS = {
  [OUTCOME_HEADER]: 'not-run',
  [REASON_HEADER]: 'draining',
};

describe('Gate client', () => {
  let client: HttpGateClient;
  let server: HttpServer;
  let address: GateAddress;

  async function start(handler: RequestHandler): Promise<void> {
    client = new HttpGateClient();
    server = new HttpServer(handler);
    const port = await server.listen({host: HOST, port: 0, idleTimeoutMs: 500});
    address = brandId<GateAddress>(`${HOST}:${port}`);
  }

  afterEach(async () => {
    await client.close();
    await server.stop(0);
  });

  async function call(): Promise<string> {
    const deadline = new Deadline(TIMEOUT_MS);
    const {outcome} = await client.call({
      instanceId: brandId<InstanceId>('i'),
      address,
      serviceId: brandId<ServiceId>('s'),
      method: 'POST',
      path: '/',
      headers: [],
      body: Buffer.alloc(0),
      depth: 1,
      isRetry: false,
      isSuspect: false,
      deadline,
    });
    deadline.dispose();
    return outcome.kind;
  }

  // A refusal of an earlier request led to a second run of the next one.
  it('believes no refusal that names another request', async () => {
    const callIds: string[] = [];
    await start((request, response) => {
      callIds.push(String(request.headers[CALL_ID_HEADER]));
      const fields = {...REFUSAL_FIELDS, [CALL_ID_HEADER]: callIds[0]};
      response.writeHead(503, fields).end();
      return Promise.resolve();
    });
    expect(await call()).to.equal('not-run');
    expect(await call()).to.equal('unknown');
    expect(new Set(callIds).size).to.equal(2);
  });

  it('gets its id back from gates that refuse while they stop', async () => {
    let sentId: string | undefined;
    let echoedId: unknown;
    await start(async (request, response) => {
      sentId = String(request.headers[CALL_ID_HEADER]);
      await refuseWhileDraining(request, response);
      echoedId = response.getHeader(CALL_ID_HEADER);
    });
    expect(await call()).to.equal('not-run');
    expect(echoedId).to.equal(sentId);
  });

  it('believes gates of earlier versions, which echo no id', async () => {
    await start((_request, response) => {
      response.writeHead(503, REFUSAL_FIELDS).end();
      return Promise.resolve();
    });
    expect(await call()).to.equal('not-run');
  });
});
