import {once} from 'node:events';
import type {AddressInfo, Server, Socket} from 'node:net';
import {createServer} from 'node:net';
import type {InstanceId, ServiceId} from '@cassiaknot/inventory';
import {brandId, parseInventory} from '@cassiaknot/inventory';
import {
  CALL_ID_HEADER,
  Deadline,
  HttpTargetClient,
  ProxyGate,
  TargetRegistry,
} from '@cassiaknot/proxy';
import {expect} from 'chai';
import {SMALL_INVENTORY} from './inventories.js';
import {sleep} from './sleep.js';

const HOST = '127.0.0.1';
const TIMEOUT_MS = 5_000;
const REQUEST_COUNT = 10;
/** Status by which targets of the service refuse requests. */
const REFUSAL_STATUS = 503;
const INSTANCE_ID = brandId<InstanceId>('i');
const SERVICE_ID = brandId<ServiceId>('orders');

/** A request as a target receives it. */
interface Received {
  readonly id: string;
  /** Number of requests before it on its connection. */
  readonly position: number;
  readonly callId: string;
}

function respond(statusCode: number, callId?: string): string {
  const echo = callId === undefined ? '' : `${CALL_ID_HEADER}: ${callId}\r\n`;
  return `HTTP/1.1 ${statusCode} S\r\n${echo}Content-Length: 2\r\n\r\nok`;
}

function getField(head: string, name: string): string {
  const line = head.split('\r\n').find(text => text.startsWith(`${name}: `));
  return line?.slice(name.length + 2) ?? '';
}

function newTargetRegistry(address: string): TargetRegistry {
  const targets = new TargetRegistry({
    heartbeatTimeoutMs: 60_000,
    newClient: options => new HttpTargetClient(options),
    findService: () => undefined,
    onTargetChange: () => undefined,
    onSessionEnd: () => undefined,
  });
  targets.announce({
    serviceId: SERVICE_ID,
    address,
    slots: 1,
    connections: 1,
    warmUpMs: 0,
  });
  return targets;
}

function newGate(targets: TargetRegistry): ProxyGate {
  const inventory = parseInventory(SMALL_INVENTORY).unwrap();
  const services = [...inventory.values()].filter(
    record => record.kind === 'service',
  );
  return new ProxyGate({
    instanceId: INSTANCE_ID,
    targets,
    claims: {claim: () => Promise.reject(new Error('no request has a key'))},
    crashTracker: {
      getStatus: () => 'clear',
      reportCrash: () => undefined,
      clear: () => undefined,
    },
    findService: id => services.find(service => service.id === id),
  });
}

describe('Repeated refusals', () => {
  let server: Server;
  let targets: TargetRegistry;
  let gate: ProxyGate;
  /** Ids of the requests that the target has run. */
  let runIds: Set<string>;

  async function start(answer: (received: Received) => string): Promise<void> {
    server = createServer((socket: Socket) => {
      let position = 0;
      socket.on('error', () => undefined);
      socket.on('data', (data: Buffer) => {
        const head = data.toString();
        const id = getField(head, 'id');
        const callId = getField(head, CALL_ID_HEADER);
        socket.write(answer({id, position, callId}));
        position += 1;
      });
    });
    server.listen(0, HOST);
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    targets = newTargetRegistry(`${HOST}:${port}`);
    gate = newGate(targets);
    runIds = new Set();
  }

  afterEach(() => {
    targets.stop();
    server.close();
  });

  async function send(id: string): Promise<string> {
    const deadline = new Deadline(TIMEOUT_MS);
    const outcome = await gate.handle({
      instanceId: INSTANCE_ID,
      serviceId: SERVICE_ID,
      method: 'POST',
      path: '/',
      headers: ['id', id],
      body: Buffer.alloc(0),
      idempotencyKey: undefined,
      isSuspect: false,
      deadline,
    });
    deadline.dispose();
    // A pool reuses a connection from the next turn on.
    await sleep(1);
    return outcome.kind === 'answered'
      ? `status ${outcome.response.statusCode}`
      : `${outcome.kind} ${outcome.reason}`;
  }

  async function sendAll(): Promise<Map<string, string>> {
    const outcomes = new Map<string, string>();
    for (let index = 0; index < REQUEST_COUNT; index += 1) {
      outcomes.set(`r${index}`, await send(`r${index}`));
    }
    return outcomes;
  }

  // A request that ran was reported as not run, and sent to another target.
  it('believes no refusal that a target writes again while the next request runs', async () => {
    await start(({id, position}) => {
      if (position > 0) runIds.add(id);
      return respond(REFUSAL_STATUS);
    });
    const outcomes = await sendAll();
    for (const id of runIds) {
      expect(outcomes.get(id)).to.equal('unknown answer-foreign');
    }
    expect(outcomes.get('r0')).to.equal('not-run target-shed');
  });

  // The same, where the refusal follows a response to a request that ran.
  it('believes no unnamed refusal behind other responses on a connection', async () => {
    await start(({id, position}) => {
      runIds.add(id);
      return respond(position === 0 ? 200 : REFUSAL_STATUS);
    });
    const outcomes = await sendAll();
    expect(runIds.size).to.equal(REQUEST_COUNT);
    for (const outcome of outcomes.values()) {
      expect(outcome).to.be.oneOf(['status 200', 'unknown answer-foreign']);
    }
  });

  // Unnamed refusals are believed only as the first response on a connection, so
  // the connection behind one is of no more use.
  it('sends no request on a connection that carried an unnamed refusal', async () => {
    const positions: number[] = [];
    await start(({position}) => {
      positions.push(position);
      return respond(REFUSAL_STATUS);
    });
    const outcomes = await sendAll();
    expect(new Set(positions)).to.deep.equal(new Set([0]));
    expect(new Set(outcomes.values())).to.deep.equal(
      new Set(['not-run target-shed']),
    );
  });

  it('believes refusals that name their request, on the same connection', async () => {
    const positions: number[] = [];
    await start(({position, callId}) => {
      positions.push(position);
      return respond(position === 0 ? 200 : REFUSAL_STATUS, callId);
    });
    const outcomes = [...(await sendAll()).values()];
    expect(positions.at(-1)).to.equal(REQUEST_COUNT - 1);
    expect(new Set(outcomes.slice(1))).to.deep.equal(
      new Set(['not-run target-shed']),
    );
  });

  // A late response to an earlier request was passed on as that of the next one.
  it('passes on no response that names another request', async () => {
    let firstCallId: string | undefined;
    await start(({callId}) => {
      firstCallId ??= callId;
      return respond(200, firstCallId);
    });
    const outcomes = [...(await sendAll()).values()];
    expect(outcomes[0]).to.equal('status 200');
    expect(new Set(outcomes.slice(1))).to.deep.equal(
      new Set(['unknown answer-foreign']),
    );
  });
});
