/** Runs a scenario of the load model with several seeds. */

import {readFile} from 'node:fs/promises';
import FakeTimers from '@sinonjs/fake-timers';
import {LoadModel} from '../load_model/load_model.js';
import {parseScenario} from '../load_model/scenario.js';
import type {RequestCounts, LoadScenario} from '../load_model/types.js';
import {formatTable, round} from './table.js';

/** Scenario and seeds of the load benchmark. */
export interface LoadBenchOptions {
  readonly scenarioPath: string;
  readonly seeds: readonly number[];
}

const HEADINGS = [
  'kind',
  'offered',
  'in time',
  'late',
  'refused',
  'failed',
  'other data centre',
  'slow to target',
  'refusals per unserved',
  'refused offers per request',
];
const DECIMALS = 3;
/** Jobs of one tick of the clock; the links of 68 instances open in one. */
const MAX_JOBS_PER_TICK = 1_000_000;

/**
 * Runs the scenario once per seed and sums the counts. Returns a table of the
 * requests offered, and of the outcomes as shares of them.
 */
export async function runLoadBench(options: LoadBenchOptions): Promise<string> {
  const scenario = parseScenario(await readFile(options.scenarioPath, 'utf8'));
  const totals = new Map<string, RequestCounts>();
  const imbalances = new Map<string, number>();
  for (const seed of options.seeds) {
    const {countsByKind, imbalance} = await runOnce(scenario, seed);
    for (const [name, counts] of countsByKind) {
      totals.set(name, addCounts(totals.get(name), counts));
    }
    for (const [serviceId, ratio] of imbalance) {
      const sum = imbalances.get(serviceId) ?? 0;
      imbalances.set(serviceId, sum + ratio / options.seeds.length);
    }
  }
  const rows = [...totals].map(([name, counts]) => [name, ...toCells(counts)]);
  const ratios = [...imbalances].map(([serviceId, ratio]) => [
    serviceId,
    round(ratio, DECIMALS),
  ]);
  return [
    formatTable(HEADINGS, rows),
    formatTable(['service', 'busiest target to mean'], ratios),
  ].join('\n');
}

interface RunResult {
  readonly countsByKind: ReadonlyMap<string, RequestCounts>;
  /** Ratio of the busiest target to the mean, by service. */
  readonly imbalance: ReadonlyMap<string, number>;
}

async function runOnce(
  scenario: LoadScenario,
  seed: number,
): Promise<RunResult> {
  const clock = FakeTimers.install({loopLimit: MAX_JOBS_PER_TICK});
  try {
    const model = new LoadModel(scenario, seed, clock);
    const countsByKind = await model.run();
    return {countsByKind, imbalance: model.getImbalance()};
  } finally {
    clock.uninstall();
  }
}

function addCounts(
  left: RequestCounts | undefined,
  right: RequestCounts,
): RequestCounts {
  if (!left) return right;
  return {
    offered: left.offered + right.offered,
    inTime: left.inTime + right.inTime,
    late: left.late + right.late,
    refused: left.refused + right.refused,
    failed: left.failed + right.failed,
    remote: left.remote + right.remote,
    refusedAttempts: left.refusedAttempts + right.refusedAttempts,
    slowToTarget: left.slowToTarget + right.slowToTarget,
    refusedOffers: left.refusedOffers + right.refusedOffers,
  };
}

function toCells(counts: RequestCounts): number[] {
  const {offered, inTime, late, refused, failed, remote} = counts;
  const {slowToTarget, refusedAttempts, refusedOffers} = counts;
  const shares = [inTime, late, refused, failed, remote, slowToTarget];
  const unserved = Math.max(1, refused);
  return [
    offered,
    ...shares.map(count => round(count / offered, DECIMALS)),
    round(refusedAttempts / unserved, 1),
    round(refusedOffers / offered, DECIMALS),
  ];
}
