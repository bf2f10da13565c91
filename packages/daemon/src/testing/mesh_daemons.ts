/** Mesh daemons in one process that share a store, for tests of their stop. */

import {once} from 'node:events';
import {createServer} from 'node:net';
import {
  Backoff,
  LogSource,
  SeededRandom,
  commitChange,
} from '@cassiaknot/coordination';
import type {
  DataCentreId,
  InstanceId,
  InventoryRecord,
  ServiceId,
} from '@cassiaknot/inventory';
import {RECORD_SCHEMA, brandId, newChange} from '@cassiaknot/inventory';
import type {GateAddress, PeerAddress} from '@cassiaknot/peer-protocol';
import type {HeaderCodec} from '@cassiaknot/relay';
import {InMemoryStore} from '@cassiaknot/store';
import {BoundedOutput} from '../mesh/bounded_output.js';
import {DecisionLog} from '../mesh/decision_log.js';
import {MeshDaemon} from '../mesh/mesh_daemon.js';

export const HOST = '127.0.0.1';
/** Service of all targets; its rule matches all paths and isn't idempotent. */
export const SERVICE = brandId<ServiceId>('s');
const DATA_CENTRE = brandId<DataCentreId>('a');
const TARGET_SLOTS = 20;
const POLL_INTERVAL_MS = 20;
const WAIT_LIMIT_MS = 10_000;
/** Ports to search for free ones: this and the `PORT_COUNT - 1` after it. */
const FIRST_PORT = 15_000;
const PORT_COUNT = 16_000;
const PORT_STRIDE_PER_PROCESS = 97;

// Concurrent test runs start their search at different ports.
let nextPortOffset = process.pid * PORT_STRIDE_PER_PROCESS;

/** Takes every response as the answer to the request. */
const HEADER_CODEC: HeaderCodec = {
  strippedRequestHeaders: new Set(),
  workspaceRequestHeaders: new Set(),
  challenge: 'Bearer',
  strippedResponseHeaders: new Set(),
  parseCallerHeaders: () => ({requestId: '', timeoutMs: undefined}),
  formatTargetHeaders: () => [],
  parseTargetReport: () => ({limitPerSecond: undefined, isLeaving: false}),
  classifyResponse: () => ({kind: 'answer'}),
};

/** Passes each line of the log to a handler. */
class ObservedOutput extends BoundedOutput {
  constructor(private readonly onLine: (line: string) => void) {
    super();
  }

  override _write(
    chunk: Buffer,
    _encoding: BufferEncoding,
    callback: (error?: Error | null) => void,
  ): void {
    callback();
    this.onLine(chunk.toString());
  }
}

/** Settings of one daemon. */
export interface StartedDaemonOptions {
  readonly instanceId: string;
  /** Port of the local target, which need not be listening. */
  readonly targetPort: number;
  readonly gracePeriodMs: number;
  readonly onLine?: (line: string) => void;
}

/** A daemon that has been started. */
export interface StartedDaemon {
  /** Port at which it accepts requests from callers. */
  readonly callerPort: number;
  /** Announces the local target as ready. */
  announceTarget(): void;
  /** Stops the daemon once; `false` if requests were still in flight at the end. */
  stop(): Promise<boolean>;
}

/** The daemons of one test and their store. */
export class MeshDaemons {
  private readonly store = new InMemoryStore();
  private readonly seeds: PeerAddress[] = [];
  private readonly daemons: StartedDaemon[] = [];

  /** Commits the first configuration; its rule has the given timeout. */
  async commit(timeoutMs: number): Promise<void> {
    const records: InventoryRecord[] = [
      {kind: 'owner', id: 'o', contact: 'o@example.com'},
      {kind: 'data-centre', id: DATA_CENTRE, region: 'r'},
      {
        kind: 'service',
        id: SERVICE,
        ownerId: 'o',
        dataCentreIds: [DATA_CENTRE],
      },
      {
        kind: 'rule',
        id: 'r',
        serviceId: SERVICE,
        pathPrefix: '/',
        isIdempotent: false,
        timeoutMs,
      },
    ].map(record => RECORD_SCHEMA.parse(record));
    const receipt = await commitChange(newChange('operator', 0, records), {
      store: this.store,
      backoff: new Backoff(
        {minDelayMs: 1, maxDelayMs: 20},
        new SeededRandom(1),
      ),
      maxAttempts: 10,
    });
    receipt.unwrap();
  }

  /** Starts a daemon and waits until it is ready. */
  async start(options: StartedDaemonOptions): Promise<StartedDaemon> {
    const {instanceId, targetPort, gracePeriodMs} = options;
    const [callerPort, peerPort, gatePort, metricsPort] = await findFreePorts();
    const peerAddress = brandId<PeerAddress>(`${HOST}:${peerPort}`);
    const output = new ObservedOutput(options.onLine ?? (() => undefined));
    const targetAddress = `${HOST}:${targetPort}`;
    const daemon = new MeshDaemon({
      identity: {
        instanceId: brandId<InstanceId>(instanceId),
        dataCentreId: DATA_CENTRE,
        peerAddress,
        gateAddress: brandId<GateAddress>(`${HOST}:${gatePort}`),
      },
      callerAddress: {host: HOST, port: callerPort},
      metricsAddress: {host: HOST, port: metricsPort},
      fallbackSeeds: [...this.seeds],
      store: this.store,
      newSource: store => new LogSource(store),
      headerCodec: HEADER_CODEC,
      retryBudget: {windowMs: 10_000, ratio: 0.2, allowance: 10},
      shutdownGracePeriodMs: gracePeriodMs,
      getTargetAddress: () => targetAddress,
      getCallerServiceId: () => SERVICE,
      discoverTarget: () => Promise.resolve(undefined),
      log: new DecisionLog({level: 'info', instanceId, output}),
      getDroppedLogLineCount: () => 0,
      onFatal: error => {
        throw error;
      },
    });
    this.seeds.push(peerAddress);
    await daemon.start();
    await waitUntil(() => daemon.isReady());
    const announceTarget = () => {
      daemon.announce({
        targetId: `t-${instanceId}`,
        serviceId: SERVICE,
        address: targetAddress,
        slots: TARGET_SLOTS,
        state: 'ready',
        coldMs: 0,
        sequence: 1,
        startedAtMs: undefined,
      });
    };
    let stopped: Promise<boolean> | undefined;
    const stop = () => (stopped ??= daemon.stop());
    const started = {callerPort, announceTarget, stop};
    this.daemons.push(started);
    return started;
  }

  /** Stops all daemons that are not stopped yet. */
  async stop(): Promise<void> {
    await Promise.all(this.daemons.map(daemon => daemon.stop()));
  }
}

/** Waits until a condition holds. */
export async function waitUntil(
  isMet: () => boolean | Promise<boolean>,
): Promise<void> {
  const limitMs = performance.now() + WAIT_LIMIT_MS;
  while (!(await isMet())) {
    if (performance.now() > limitMs) throw new Error('condition not met');
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

/** Returns free ports for callers, peers, the gate and metrics. */
async function findFreePorts(): Promise<[number, number, number, number]> {
  return [
    await findFreePort(),
    await findFreePort(),
    await findFreePort(),
    await findFreePort(),
  ];
}

// An ephemeral port could be taken by an outgoing connection before it is used.
async function findFreePort(): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + (nextPortOffset % PORT_COUNT);
    nextPortOffset += 1;
    if (await isPortFree(port)) return port;
  }
}

async function isPortFree(port: number): Promise<boolean> {
  const server = createServer();
  try {
    server.listen(port, HOST);
    await once(server, 'listening');
  } catch {
    return false;
  }
  server.close();
  await once(server, 'close');
  return true;
}
