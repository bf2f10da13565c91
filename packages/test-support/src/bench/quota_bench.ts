/**
 * Measures what quotas cost per instance, by size of the mesh. All instances run in
 * one process in real time, over links in memory; frames are encoded once, as on a
 * real link. The processor time includes that of the driver.
 */

import {encodeRelayFrame} from '@cassiaknot/peer-protocol';
import {SWEEP_INTERVAL_MS} from '@cassiaknot/relay';
import {QuotaMesh} from '@cassiaknot/relay/testing';
import {sleep} from '../sleep.js';
import type {TableRow} from './table.js';
import {formatTable, round} from './table.js';

/** Sizes of the mesh and its load. */
export interface QuotaBenchOptions {
  readonly sizes: readonly number[];
  readonly dataCentres: number;
  readonly workspaces: number;
  /** Requests per second of one instance, over all workspaces. */
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  /** Multiples of the usual demand. */
  readonly factors: readonly number[];
}

/** Frame header of a link and the headers of its packet. */
const FRAME_OVERHEAD_BYTES = 6;
const WARM_UP_MS = 12_000;
/** Decisions that took longer had to wait for a lender. */
const WAITED_MS = 0.5;
/** Ratio of a limit to the usual demand. */
const LIMIT_RATIO = 1.6;

/** Measures each size with each demand. */
export async function runQuotaBench(
  options: QuotaBenchOptions,
): Promise<string> {
  const rows: TableRow[] = [];
  for (const size of options.sizes) {
    for (const factor of options.factors) {
      rows.push(await measure(options, size, factor));
    }
  }
  const {dataCentres, workspaces, requestsPerSecond} = options;
  return [
    `${dataCentres} data centres, ${workspaces} workspaces, ` +
      `${requestsPerSecond} requests/s an instance; limits at ${LIMIT_RATIO} ` +
      'times the usual demand; per instance',
    formatTable(
      [
        'instances',
        'demand',
        'frames/s',
        'bytes/s',
        'CPU ms/s',
        'waited %',
        'refused %',
        'timeouts %',
      ],
      rows,
    ),
  ].join('\n\n');
}

async function measure(
  options: QuotaBenchOptions,
  size: number,
  factor: number,
): Promise<TableRow> {
  const {dataCentres, workspaces, requestsPerSecond, durationMs} = options;
  const names = Array.from({length: workspaces}, (_, index) => `w${index}`);
  // The demand of workspaces falls as one over their rank: a few are large.
  const weights = names.map((_, index) => 1 / (index + 1));
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const limits = Object.fromEntries(
    names.map((name, index) => {
      const share = (weights[index] ?? 0) / total;
      const rate = LIMIT_RATIO * share * requestsPerSecond * size;
      return [name, {ratePerSecond: rate, burst: rate}];
    }),
  );
  const mesh = new QuotaMesh({
    dataCentreCount: dataCentres,
    instancesPerDataCentre: Math.round(size / dataCentres),
    limits,
    seed: 1,
  });
  mesh.startAll();
  let due = 0;
  const send = (stepMs: number) => {
    due += (factor * requestsPerSecond * mesh.getSize() * stepMs) / 1_000;
    for (; due >= 1; due -= 1) {
      let left = mesh.getNextRandom() * total;
      const index = weights.findIndex(weight => (left -= weight) < 0);
      const instance = Math.floor(mesh.getNextRandom() * mesh.getSize());
      mesh.request(instance, names[index] ?? 'w0');
    }
  };
  await drive(mesh, WARM_UP_MS, send);
  let frames = 0;
  let bytes = 0;
  mesh.network.onFrame = frame => {
    frames += 1;
    bytes += encodeRelayFrame(frame).length + FRAME_OVERHEAD_BYTES;
  };
  mesh.counts.clear();
  const firstEvent = mesh.events.length;
  const cpu = process.cpuUsage();
  await drive(mesh, durationMs, send);
  const {user, system} = process.cpuUsage(cpu);
  const perInstanceSecond = mesh.getSize() * (durationMs / 1_000);
  const events = mesh.events.slice(firstEvent);
  const refused = events.filter(({admission}) => !admission.isAdmitted);
  const waited = events.filter(
    ({decidedAtMs, sentAtMs}) => decidedAtMs - sentAtMs > WAITED_MS,
  );
  const getPercent = (count: number) => round((100 * count) / events.length);
  return [
    mesh.getSize(),
    `${factor}x`,
    round(frames / perInstanceSecond),
    round(bytes / perInstanceSecond, 0),
    round((user + system) / 1_000 / perInstanceSecond, 2),
    getPercent(waited.length),
    getPercent(refused.length),
    getPercent(mesh.counts.get('quota/lender-silent') ?? 0),
  ];
}

async function drive(
  mesh: QuotaMesh,
  durationMs: number,
  onStep: (stepMs: number) => void,
): Promise<void> {
  const startMs = performance.now();
  let steppedAtMs = startMs;
  let sweptAtMs = startMs;
  while (steppedAtMs - startMs < durationMs) {
    await sleep(2);
    const nowMs = performance.now();
    if (nowMs - sweptAtMs >= SWEEP_INTERVAL_MS) {
      sweptAtMs = nowMs;
      mesh.sweep();
    }
    onStep(nowMs - steppedAtMs);
    steppedAtMs = nowMs;
  }
}
