/**
 * Measures the time that the mesh adds to a call at the call rate of one
 * instance, and the processor time per call.
 */

import {CallLedger} from '../call_ledger.js';
import {MeshCaller} from '../call_mesh.js';
import {SMALL_INVENTORY} from '../inventories.js';
import {TestMesh} from '../test_mesh.js';
import {formatTable, round} from './table.js';
import {pause} from '../pause.js';

/** Size of the measurement. */
export interface LatencyBenchOptions {
  readonly callsPerSecond: number;
  readonly durationMs: number;
}

const INSTANCES = ['lautoka', 'nadi'].flatMap(dataCentreId => [
  {instanceId: `${dataCentreId}-0`, dataCentreId, serviceId: 'catalogue'},
  {instanceId: `${dataCentreId}-1`, dataCentreId, serviceId: 'catalogue'},
]);
const TICK_MS = 1;
const WARM_UP_CALLS = 15_000;
/** Daemons report the latency of the last two windows of this length. */
const LATENCY_WINDOW_MS = 10_000;

/** Sends calls at a fixed rate, whatever becomes of earlier ones. */
export async function runLatencyBench(
  options: LatencyBenchOptions,
): Promise<string> {
  const mesh = new TestMesh();
  const caller = new MeshCaller();
  const ledger = new CallLedger(caller);
  try {
    await mesh.start();
    await mesh.acceptInventory(SMALL_INVENTORY);
    await mesh.addInstances(INSTANCES);
    await mesh.waitForTargets('catalogue', INSTANCES.length);
    await sendOpenLoop(mesh, ledger, {
      callsPerSecond: options.callsPerSecond,
      durationMs: (WARM_UP_CALLS / options.callsPerSecond) * 1_000,
    });
    await pause(LATENCY_WINDOW_MS * 2);
    const cpuBefore = await readCpuUs(mesh);
    const callsBefore = ledger.entries.length;
    await sendOpenLoop(mesh, ledger, options);
    const callCount = ledger.entries.length - callsBefore;
    const cpuUs = (await readCpuUs(mesh)) - cpuBefore;
    return await report(mesh, ledger, options, cpuUs / callCount);
  } finally {
    await caller.close();
    await mesh.stop();
  }
}

async function sendOpenLoop(
  mesh: TestMesh,
  ledger: CallLedger,
  options: LatencyBenchOptions,
): Promise<void> {
  const startedAtMs = performance.now();
  const pending: Array<Promise<unknown>> = [];
  for (;;) {
    const elapsedMs = performance.now() - startedAtMs;
    if (elapsedMs >= options.durationMs) break;
    const due = (elapsedMs / 1_000) * options.callsPerSecond;
    while (pending.length < due) {
      const instance = mesh.instances[pending.length % mesh.instances.length];
      const entryUrl = instance?.daemon.getEntryUrl() ?? '';
      const path = '/catalogue/x?size=1000';
      pending.push(ledger.call(entryUrl, {method: 'GET', path}));
    }
    await pause(TICK_MS);
  }
  await Promise.all(pending);
}

async function readCpuUs(mesh: TestMesh): Promise<number> {
  let cpuUs = 0;
  for (const {daemon} of mesh.instances) {
    cpuUs += (await daemon.readStatus())?.cpuUs ?? 0;
  }
  return cpuUs;
}

async function report(
  mesh: TestMesh,
  ledger: CallLedger,
  options: LatencyBenchOptions,
  cpuUsPerCall: number,
): Promise<string> {
  const rows = [];
  for (const {daemon} of mesh.instances) {
    const status = await daemon.readStatus();
    if (!status) continue;
    const {count, p50Us, p99Us, p999Us} = status.addedLatency;
    const memoryMb = round(status.memoryBytes / 1e6, 0);
    const name = daemon.options.instanceId;
    rows.push([name, count, p50Us, p99Us, p999Us, memoryMb]);
  }
  const answered = ledger.count('answered');
  const perEntry = options.callsPerSecond / mesh.instances.length;
  return [
    `${options.callsPerSecond} calls/s over ${mesh.instances.length} daemons ` +
      `(${round(perEntry)} in and as many out at each), ` +
      `${answered} of ${ledger.entries.length} answered, ` +
      `${round(cpuUsPerCall, 0)} us of processor per call in all daemons`,
    formatTable(
      ['entry', 'calls', 'added p50 us', 'p99 us', 'p99.9 us', 'RSS MB'],
      rows,
    ),
  ].join('\n\n');
}
