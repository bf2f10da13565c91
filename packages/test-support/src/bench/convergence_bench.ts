/**
 * Measures how long an accepted change takes to every daemon and how many
 * bytes it costs, for the overlay and for the baseline in which every daemon
 * watches the store itself.
 */

import {RECORD_SCHEMA} from '@cassiaknot/inventory';
import type {DaemonProcess} from '../child_processes.js';
import {waitFor} from '../child_processes.js';
import {SMALL_INVENTORY} from '../inventories.js';
import {TestMesh} from '../test_mesh.js';
import type {TableRow} from './table.js';
import {formatTable, getQuantile, round} from './table.js';
import {pause} from '../pause.js';

/** Size of the measurement. */
export interface ConvergenceBenchOptions {
  readonly dataCentres: number;
  readonly daemonsPerDataCentre: number;
  readonly changes: number;
}

interface Mode {
  readonly name: string;
  readonly overrides: readonly string[];
}

const MODES: readonly Mode[] = [
  {name: 'overlay', overrides: []},
  {
    name: 'every daemon watches',
    overrides: [
      'overlay.readers_per_data_centre=10000',
      'overlay.learns_from_peers=false',
    ],
  },
];
const CHANGE_GAP_MS = 300;
const SETTLE_MS = 4_000;

/** Runs both modes on meshes of the same size. */
export async function runConvergenceBench(
  options: ConvergenceBenchOptions,
): Promise<string> {
  const rows: TableRow[] = [];
  for (const mode of MODES) rows.push(await measureMode(options, mode));
  const daemonCount = options.dataCentres * options.daemonsPerDataCentre;
  return [
    `${daemonCount} daemons in ${options.dataCentres} data centres, ` +
      `${options.changes} changes, ${CHANGE_GAP_MS} ms apart`,
    formatTable(
      [
        'mode',
        'p50 ms',
        'p99 ms',
        'last daemon ms',
        'store calls per change',
        'store bytes per change and daemon',
        'peer bytes per change and daemon',
        'idle peer bytes/s per daemon',
        'idle store calls/s',
      ],
      rows,
    ),
  ].join('\n\n');
}

async function measureMode(
  options: ConvergenceBenchOptions,
  mode: Mode,
): Promise<TableRow> {
  const mesh = new TestMesh();
  try {
    await mesh.start();
    await mesh.acceptInventory(SMALL_INVENTORY);
    await mesh.addInstances(newInstances(options, mode));
    await pause(SETTLE_MS);
    const idle = await measureTraffic(mesh, () => pause(SETTLE_MS));
    const delaysMs: number[] = [];
    const busy = await measureTraffic(mesh, async () => {
      for (let change = 0; change < options.changes; change += 1) {
        delaysMs.push(...(await measureChange(mesh, change)));
      }
    });
    return newRow(options, mode, delaysMs, idle, busy);
  } finally {
    await mesh.stop();
  }
}

function newInstances(options: ConvergenceBenchOptions, mode: Mode) {
  const instances = [];
  for (let index = 0; index < options.dataCentres; index += 1) {
    for (let slot = 0; slot < options.daemonsPerDataCentre; slot += 1) {
      instances.push({
        instanceId: `dc${index}-${slot}`,
        dataCentreId: `dc${index}`,
        overrides: mode.overrides,
      });
    }
  }
  return instances;
}

async function measureChange(
  mesh: TestMesh,
  change: number,
): Promise<number[]> {
  const contact = `contact ${change}`;
  const owner = RECORD_SCHEMA.parse({kind: 'owner', id: 'o', contact});
  const acceptedAtMs = Date.now();
  const version = await mesh.accept([owner]);
  await pause(CHANGE_GAP_MS);
  const delaysMs: number[] = [];
  for (const {daemon} of mesh.instances) {
    const name = `${daemon.options.instanceId} logs version ${version}`;
    await waitFor(name, () => findInstallMs(daemon, version) !== undefined);
    delaysMs.push((findInstallMs(daemon, version) ?? 0) - acceptedAtMs);
  }
  return delaysMs;
}

function findInstallMs(
  daemon: DaemonProcess,
  version: number,
): number | undefined {
  const sentence = `Version ${version} is in force.`;
  for (const line of daemon.getLog().split('\n')) {
    if (line.endsWith(sentence)) return Date.parse(line.split(' ')[0] ?? '');
  }
  return undefined;
}

interface Traffic {
  readonly durationMs: number;
  readonly storeCalls: number;
  readonly storeBytes: number;
  readonly peerBytes: number;
}

async function measureTraffic(
  mesh: TestMesh,
  work: () => Promise<void>,
): Promise<Traffic> {
  const startedAtMs = performance.now();
  const storeCalls = mesh.store.getCallCount();
  const storeBytes = mesh.store.getByteCount();
  const peerBytes = await readPeerBytes(mesh);
  await work();
  return {
    durationMs: performance.now() - startedAtMs,
    storeCalls: mesh.store.getCallCount() - storeCalls,
    storeBytes: mesh.store.getByteCount() - storeBytes,
    peerBytes: (await readPeerBytes(mesh)) - peerBytes,
  };
}

async function readPeerBytes(mesh: TestMesh): Promise<number> {
  let total = 0;
  for (const {daemon} of mesh.instances) {
    const metrics = await daemon.readMetrics();
    for (const line of metrics.split('\n')) {
      if (
        !line.startsWith('cassiaknot_peer_bytes_total{direction="received"')
      ) {
        continue;
      }
      total += Number(line.slice(line.lastIndexOf(' ') + 1));
    }
  }
  return total;
}

function newRow(
  options: ConvergenceBenchOptions,
  mode: Mode,
  delaysMs: readonly number[],
  idle: Traffic,
  busy: Traffic,
): TableRow {
  const daemons = options.dataCentres * options.daemonsPerDataCentre;
  const idlePeerRate = idle.peerBytes / idle.durationMs;
  const changePeerBytes = busy.peerBytes - idlePeerRate * busy.durationMs;
  return [
    mode.name,
    getQuantile(delaysMs, 0.5),
    getQuantile(delaysMs, 0.99),
    Math.max(...delaysMs),
    round(busy.storeCalls / options.changes),
    round(busy.storeBytes / options.changes / daemons, 0),
    round(changePeerBytes / options.changes / daemons, 0),
    round((idlePeerRate * 1_000) / daemons, 0),
    round(idle.storeCalls / (idle.durationMs / 1_000), 2),
  ];
}
