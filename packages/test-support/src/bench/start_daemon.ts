/**
 * Child process of the start benchmark: runs one daemon for a given time and sends
 * the processor time that it has used, by part, to the parent.
 */

import {once} from 'node:events';
import {LogSource} from '@cassiaknot/coordination';
import {BoundedOutput, DecisionLog, MeshDaemon} from '@cassiaknot/daemon';
import type {DataCentreId, InstanceId, ServiceId} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import type {GateAddress, PeerAddress} from '@cassiaknot/peer-protocol';
import type {HeaderCodec} from '@cassiaknot/relay';
import {HttpStore} from '@cassiaknot/store';
import {sleep} from '../sleep.js';
import {StartProfile} from './start_profile.js';
import type {StartReport, StartSettings} from './start_types.js';
import {
  CALLER_PORT,
  GATE_PORT,
  METRICS_PORT,
  PEER_PORT,
  START_SETTINGS_SCHEMA,
} from './start_types.js';

const POLL_INTERVAL_MS = 20;
const SLOTS = 13;
const STORE_TIMEOUT_MS = 2_000;

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

const loadMs = readCpuMs();
const settings = START_SETTINGS_SCHEMA.parse(JSON.parse(process.argv[2] ?? ''));
// A daemon must not outlive the benchmark.
process.on('disconnect', () => process.exit(1));
process.send?.('loaded');
await once(process, 'message');
await run(settings);

async function run(startSettings: StartSettings): Promise<void> {
  const {durationMs, targetAddress, isProfiled, instanceId} = startSettings;
  const profile = isProfiled ? new StartProfile() : undefined;
  profile?.start();
  const startedAtMs = performance.now();
  const daemon = newDaemon(startSettings);
  await daemon.start();
  daemon.announce({
    targetId: `t-${instanceId}`,
    serviceId: brandId<ServiceId>(startSettings.serviceId),
    address: targetAddress,
    slots: SLOTS,
    state: 'ready',
    coldMs: 0,
    sequence: 1,
    startedAtMs: undefined,
  });
  const readiness = waitUntilReady(daemon, startedAtMs);
  await sleep(durationMs - (performance.now() - startedAtMs));
  const cpuMs = readCpuMs();
  const parts = profile ? await profile.stop() : [];
  const gateCount = await readGauge(startSettings, 'cassiaknot_open_gates');
  const report: StartReport = {
    loadMs,
    cpuMs,
    ...(await readiness),
    openLinks: gateCount,
    parts,
  };
  process.send?.(report);
  // Other daemons are measured until they have reported as well.
  process.on('message', () => process.exit(0));
}

function newDaemon(startSettings: StartSettings): MeshDaemon {
  const {host, dataCentreId, seeds, storeUrl, serviceId} = startSettings;
  const instanceId = brandId<InstanceId>(startSettings.instanceId);
  const output = new BoundedOutput();
  return new MeshDaemon({
    identity: {
      instanceId,
      dataCentreId: brandId<DataCentreId>(dataCentreId),
      peerAddress: brandId<PeerAddress>(`${host}:${PEER_PORT}`),
      gateAddress: brandId<GateAddress>(`${host}:${GATE_PORT}`),
    },
    callerAddress: {host, port: CALLER_PORT},
    metricsAddress: {host, port: METRICS_PORT},
    fallbackSeeds: seeds.map(seed => brandId<PeerAddress>(seed)),
    store: new HttpStore({url: storeUrl, timeoutMs: STORE_TIMEOUT_MS}),
    newSource: store => new LogSource(store),
    headerCodec: HEADER_CODEC,
    retryBudget: {windowMs: 10_000, ratio: 0.2, allowance: 10},
    shutdownGracePeriodMs: 1_000,
    getTargetAddress: () => startSettings.targetAddress,
    getCallerServiceId: () => brandId<ServiceId>(serviceId),
    discoverTarget: () => Promise.resolve(undefined),
    log: new DecisionLog({level: 'info', instanceId, output}),
    getDroppedLogLineCount: () => output.getDroppedLineCount(),
    onFatal: error => {
      throw error;
    },
  });
}

async function waitUntilReady(
  daemon: MeshDaemon,
  startedAtMs: number,
): Promise<{readyAfterMs: number; cpuAtReadyMs: number}> {
  while (!daemon.isReady()) await sleep(POLL_INTERVAL_MS);
  const readyAfterMs = performance.now() - startedAtMs;
  return {readyAfterMs, cpuAtReadyMs: readCpuMs()};
}

async function readGauge({host}: StartSettings, name: string): Promise<number> {
  const response = await fetch(`http://${host}:${METRICS_PORT}/`);
  const text = await response.text();
  const line = text.split('\n').find(text => text.startsWith(`${name} `));
  return Number(line?.split(' ')[1] ?? 0);
}

function readCpuMs(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / 1_000;
}
