/** Plays a scenario of the load model over several seeds. */

import {readFile} from 'node:fs/promises';
import FakeTimers from '@sinonjs/fake-timers';
import {LoadModel} from '../load_model/load_model.js';
import {parseScenario} from '../load_model/scenario.js';
import type {KindResult, ModelScenario} from '../load_model/types.js';
import {formatTable, round} from './table.js';

/** Options of the load benchmark. */
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

/** Plays the scenario once for each seed; returns a table of the sums. */
export async function runLoadBench(options: LoadBenchOptions): Promise<string> {
  const scenario = parseScenario(await readFile(options.scenarioPath, 'utf8'));
  const sums = new Map<string, KindResult>();
  for (const seed of options.seeds) {
    for (const [name, result] of await playOnce(scenario, seed)) {
      sums.set(name, addResults(sums.get(name), result));
    }
  }
  const rows = [...sums].map(([name, result]) => [name, ...toCells(result)]);
  return formatTable(HEADINGS, rows);
}

async function playOnce(
  scenario: ModelScenario,
  seed: number,
): Promise<ReadonlyMap<string, KindResult>> {
  const clock = FakeTimers.install();
  try {
    return await new LoadModel(scenario, seed, clock).play();
  } finally {
    clock.uninstall();
  }
}

function addResults(
  left: KindResult | undefined,
  right: KindResult,
): KindResult {
  if (!left) return right;
  return {
    offered: left.offered + right.offered,
    inTime: left.inTime + right.inTime,
    late: left.late + right.late,
    refused: left.refused + right.refused,
    failed: left.failed + right.failed,
    remote: left.remote + right.remote,
  };
}

function toCells(result: KindResult): number[] {
  const {offered, inTime, late, refused, failed, remote} = result;
  const shares = [inTime, late, refused, failed, remote];
  return [offered, ...shares.map(count => round(count / offered, DECIMALS))];
}
