/**
 * Measures what a start costs when all daemons start at once, as after a power loss.
 * Each daemon is a process of its own with a loopback address of its own.
 */

import {fork} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {commitChange} from '@cassiaknot/coordination';
import type {InventoryRecord} from '@cassiaknot/inventory';
import {RECORD_SCHEMA, newChange} from '@cassiaknot/inventory';
import {FakeStoreServer} from '../fake_store_server.js';
import {sleep} from '../sleep.js';
import {newTestBackoff} from '../test_mesh.js';
import type {StartReport, StartSettings} from './start_types.js';
import {CALLER_PORT, PEER_PORT, START_REPORT_SCHEMA} from './start_types.js';
import type {TableRow} from './table.js';
import {formatTable, getQuantile, round} from './table.js';

/** Fleet sizes and duration of the start benchmark. */
export interface StartBenchOptions {
  readonly sizes: readonly number[];
  readonly durationMs: number;
  readonly routes: number;
  /** Requests sent to each daemon during its start. */
  readonly requests: number;
}

const DAEMON_PATH = new URL('./start_daemon.js', import.meta.url);
/** Flags of the deployed daemon. */
const NODE_FLAGS = ['--max-old-space-size=160'];
const DATA_CENTRES = ['a', 'b', 'c'];
const SERVICES = ['s0', 's1'];
/** Every fourth daemon is profiled; the others give the processor time. */
const PROFILED_EVERY = 4;
const FIRST_NETWORK = 16;
const NETWORK_COUNT = 200;
const REQUEST_INTERVAL_MS = 100;
const REQUEST_TIMEOUT_MS = 2_000;
const REPORT_GRACE_MS = 60_000;

/** Costs of one fleet size; all times in milliseconds per daemon. */
interface StartCost {
  readonly size: number;
  readonly reports: readonly StartReport[];
  readonly served: number;
  readonly refused: number;
}

/** Starts fleets of the given sizes one after the other. */
export async function runStartBench(
  options: StartBenchOptions,
): Promise<string> {
  const costs: StartCost[] = [];
  for (const size of options.sizes) costs.push(await measure(options, size));
  const [first, last] = [costs[0], costs.at(-1)];
  const lines = [
    `processor time of one daemon in its first ${options.durationMs} ms, ` +
      `${options.routes} routes, by the number of daemons that start at once`,
    formatTable(HEADINGS, costs.map(toRow)),
    formatTable(
      ['part (ms)', ...costs.map(({size}) => `${size} daemons`)],
      toParts(costs),
    ),
  ];
  if (first && last && first !== last) {
    const slope =
      (getMeanCpuMs(last) - getMeanCpuMs(first)) / (last.size - first.size);
    lines.push(`slope: ${round(slope, 2)} ms per further daemon`);
  }
  return lines.join('\n\n');
}

const HEADINGS = [
  'daemons',
  'CPU ms',
  'of it load',
  'CPU ms at ready',
  'ready after ms, median',
  'open links',
  'requests served',
  'refused',
];

function toRow(cost: StartCost): TableRow {
  const {size, reports, served, refused} = cost;
  const mean = (read: (report: StartReport) => number) =>
    round(getMean(reports.map(read)), 0);
  return [
    size,
    round(getMeanCpuMs(cost), 0),
    mean(report => report.loadMs),
    mean(report => report.cpuAtReadyMs),
    round(
      getQuantile(
        reports.map(report => report.readyAfterMs),
        0.5,
      ),
      0,
    ),
    mean(report => report.openLinks),
    served,
    refused,
  ];
}

// Samples also count time in which another process had the processor, so that only
// their shares are used.
function toParts(costs: readonly StartCost[]): TableRow[] {
  const columns = costs.map(cost => {
    const sums = new Map<string, number>();
    for (const {parts} of cost.reports) {
      for (const {part, sampledMs} of parts) {
        sums.set(part, (sums.get(part) ?? 0) + sampledMs);
      }
    }
    const total = [...sums.values()].reduce((sum, ms) => sum + ms, 0);
    const loadMs = getMean(cost.reports.map(report => report.loadMs));
    const runMs = getMeanCpuMs(cost) - loadMs;
    const parts = new Map([['load of the program', loadMs]]);
    for (const [part, ms] of sums) parts.set(part, (ms / total) * runMs);
    return parts;
  });
  const names = [...new Set(columns.flatMap(column => [...column.keys()]))];
  const rows = names.map(name => [
    name,
    ...columns.map(column => round(column.get(name) ?? 0, 0)),
  ]);
  return rows.sort((left, right) => Number(right.at(-1)) - Number(left.at(-1)));
}

async function measure(
  options: StartBenchOptions,
  size: number,
): Promise<StartCost> {
  const store = new FakeStoreServer();
  await store.start();
  await commitConfiguration(store, options.routes);
  const target = createServer((request, response) => {
    request.resume();
    response.end('ok');
  });
  target.listen(0, '127.0.0.1');
  await once(target, 'listening');
  const {port} = target.address() as AddressInfo;
  const network = FIRST_NETWORK + (process.pid % NETWORK_COUNT);
  const hosts = Array.from(
    {length: size},
    (_, index) => `127.${network}.0.${index + 1}`,
  );
  const seeds = hosts.slice(0, DATA_CENTRES.length);
  const children = hosts.map((host, index) =>
    startDaemon({
      instanceId: `i${index}`,
      dataCentreId: pick(DATA_CENTRES, index),
      serviceId: pick(SERVICES, Math.floor(index / DATA_CENTRES.length)),
      host,
      seeds: seeds.map(seed => `${seed}:${PEER_PORT}`),
      storeUrl: store.getUrl(),
      targetAddress: `127.0.0.1:${port}`,
      durationMs: options.durationMs,
      isProfiled: index % PROFILED_EVERY === 0,
    }),
  );
  try {
    // Loading the program takes longer than a start on a busy machine.
    await Promise.all(
      children.map(child => readMessage(child, REPORT_GRACE_MS)),
    );
    for (const child of children) child.send('start');
    const outcomes = hosts.map(host => sendRequests(host, options));
    const reports = await Promise.all(
      children.map(child => readReport(child, options.durationMs)),
    );
    const served = (await Promise.all(outcomes)).flat();
    return {
      size,
      reports,
      served: served.filter(isServed => isServed).length,
      refused: served.filter(isServed => !isServed).length,
    };
  } finally {
    for (const child of children) child.kill('SIGKILL');
    target.close();
    target.closeAllConnections();
    await store.stop();
  }
}

function startDaemon(settings: StartSettings): ChildProcess {
  return fork(DAEMON_PATH, [JSON.stringify(settings)], {
    execArgv: NODE_FLAGS,
    stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
  });
}

async function readReport(
  child: ChildProcess,
  durationMs: number,
): Promise<StartReport> {
  const message = await readMessage(child, durationMs + REPORT_GRACE_MS);
  return START_REPORT_SCHEMA.parse(message);
}

async function readMessage(
  child: ChildProcess,
  timeoutMs: number,
): Promise<unknown> {
  const signal = AbortSignal.timeout(timeoutMs);
  const [message] = (await once(child, 'message', {signal})) as unknown[];
  return message;
}

/** Sends requests one after the other once the daemon listens. */
async function sendRequests(
  host: string,
  {requests, routes}: StartBenchOptions,
): Promise<boolean[]> {
  const outcomes: boolean[] = [];
  while (outcomes.length < requests) {
    await sleep(REQUEST_INTERVAL_MS);
    const path = `/r${outcomes.length % routes}/`;
    const url = `http://${host}:${CALLER_PORT}${path}`;
    const signal = AbortSignal.timeout(REQUEST_TIMEOUT_MS);
    try {
      const response = await fetch(url, {signal});
      await response.arrayBuffer();
      outcomes.push(response.ok);
    } catch {
      // Not listening yet.
      if (outcomes.length > 0) outcomes.push(false);
    }
  }
  return outcomes;
}

async function commitConfiguration(
  store: FakeStoreServer,
  routes: number,
): Promise<void> {
  const records: InventoryRecord[] = [
    {kind: 'owner', id: 'o', contact: 'o@example.com'},
    ...DATA_CENTRES.map(id => ({kind: 'data-centre', id, region: 'r'})),
    ...SERVICES.map(id => ({
      kind: 'service',
      id,
      ownerId: 'o',
      dataCentreIds: DATA_CENTRES,
    })),
    ...Array.from({length: routes}, (_, index) => ({
      kind: 'rule',
      id: `rule-${index}`,
      serviceId: pick(SERVICES, index),
      pathPrefix: `/r${index}/`,
      isIdempotent: true,
      timeoutMs: 2_500,
      latencyObjectiveMs: 1_251,
      maxAttempts: 2,
      urgency: 1,
    })),
  ].map(record => RECORD_SCHEMA.parse(record));
  const receipt = await commitChange(newChange('operator', 0, records), {
    store: store.memory,
    backoff: newTestBackoff(),
    maxAttempts: 10,
  });
  receipt.unwrap();
}

function getMeanCpuMs({reports}: StartCost): number {
  const plain = reports.filter(report => report.parts.length === 0);
  return getMean(plain.map(report => report.cpuMs));
}

function getMean(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  return values.length === 0 ? 0 : sum / values.length;
}

function pick(values: readonly string[], index: number): string {
  return values[index % values.length] ?? '';
}
