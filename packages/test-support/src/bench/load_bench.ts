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
];
const DECIMALS = 3;

/**
 * Runs the scenario once per seed and sums the counts. Returns a table of the
 * requests offered, and of the outcomes as shares of them.
 */
export async function runLoadBench(options: LoadBenchOptions): Promise<string> {
  const scenario = parseScenario(await readFile(options.scenarioPath, 'utf8'));
  const totals = new Map<string, RequestCounts>();
  for (const seed of options.seeds) {
    for (const [name, counts] of await runOnce(scenario, seed)) {
      totals.set(name, addCounts(totals.get(name), counts));
    }
  }
  const rows = [...totals].map(([name, counts]) => [name, ...toCells(counts)]);
  return formatTable(HEADINGS, rows);
}

async function runOnce(
  scenario: LoadScenario,
  seed: number,
): Promise<ReadonlyMap<string, RequestCounts>> {
  const clock = FakeTimers.install();
  try {
    return await new LoadModel(scenario, seed, clock).run();
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
    refusedAttempts: left.refusedAttempts + right.refusedAttempts,
    failed: left.failed + right.failed,
    remote: left.remote + right.remote,
  };
}

function toCells(counts: RequestCounts): number[] {
  const {offered, inTime, late, refused, failed, remote} = counts;
  const shares = [inTime, late, refused, failed, remote];
  return [offered, ...shares.map(count => round(count / offered, DECIMALS))];
}
