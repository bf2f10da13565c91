/** Measures the memory and the time that the keys of workspaces take. */

import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import type {InventoryRecord} from '@cassiaknot/inventory';
import {
  RECORD_SCHEMA,
  compileNextWorkspaceIndex,
  compileWorkspaceIndex,
  digestText,
  findWorkspaceByKey,
  newStateFromRecords,
} from '@cassiaknot/inventory';
import type {TableRow} from './table.js';
import {formatTable, round} from './table.js';

/** Numbers of keys to measure, and the workspaces they are spread over. */
export interface WorkspaceBenchOptions {
  readonly sizes: readonly number[];
  readonly workspaces: number;
}

/** Memory and times for a number of keys. */
export interface WorkspaceCost {
  readonly keyCount: number;
  readonly heapBytes: number;
  readonly compileMs: number;
  readonly keepMs: number;
  readonly lookupUs: number;
}

const LOOKUP_COUNT = 100_000;
const BYTES_PER_KB = 1_024;
const US_PER_MS = 1_000;

/** Measures the sizes one after the other. */
export function runWorkspaceBench(options: WorkspaceBenchOptions): string {
  const rows = options.sizes.map((size): TableRow => {
    const cost = measureWorkspaces(size, options.workspaces);
    return [
      cost.keyCount,
      round(cost.heapBytes / BYTES_PER_KB, 0),
      round(cost.compileMs, 2),
      round(cost.keepMs, 3),
      round(cost.lookupUs, 2),
    ];
  });
  return formatTable(
    ['keys', 'heap KB', 'compile ms', 'keep ms', 'lookup us'],
    rows,
  );
}

/** Measures the records and the index of a number of keys. */
export function measureWorkspaces(
  keyCount: number,
  workspaceCount: number,
): WorkspaceCost {
  const collectGarbage = exposeGarbageCollector();
  // The first use of each function allocates memory that stays.
  build(workspaceCount, workspaceCount);
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const {state, index, compileMs} = build(keyCount, workspaceCount);
  collectGarbage();
  const heapBytes = process.memoryUsage().heapUsed - before;
  const owner = newRecord({kind: 'owner', id: 'o', contact: 'x'});
  const next = newStateFromRecords(2, [...state.records.values(), owner]);
  const keepMs = time(() => compileNextWorkspaceIndex(state, index, next));
  const lookupMs = time(() => {
    for (let count = 0; count < LOOKUP_COUNT; count += 1) {
      findWorkspaceByKey(index, newKey(count % (2 * keyCount)));
    }
  });
  const lookupUs = (lookupMs * US_PER_MS) / LOOKUP_COUNT;
  return {keyCount, heapBytes, compileMs, keepMs, lookupUs};
}

function build(keyCount: number, workspaceCount: number) {
  const keysPerWorkspace = Math.ceil(keyCount / workspaceCount);
  const records = Array.from({length: workspaceCount}, (_, workspace) => {
    const first = workspace * keysPerWorkspace;
    const count = Math.max(0, Math.min(keysPerWorkspace, keyCount - first));
    const keyDigests = Array.from({length: count}, (_unused, key) =>
      digestText(newKey(first + key)),
    ).sort();
    return newRecord({kind: 'workspace', id: `w${workspace}`, keyDigests});
  });
  const state = newStateFromRecords(1, records);
  const startedAtMs = performance.now();
  const index = compileWorkspaceIndex(state);
  return {state, index, compileMs: performance.now() - startedAtMs};
}

function newRecord(record: object): InventoryRecord {
  return RECORD_SCHEMA.parse(record);
}

function newKey(index: number): string {
  return `key-of-twenty-${String(index).padStart(6, '0')}`;
}

function time(run: () => void): number {
  const startedAtMs = performance.now();
  run();
  return performance.now() - startedAtMs;
}

function exposeGarbageCollector(): () => void {
  setFlagsFromString('--expose-gc');
  const collect: unknown = runInNewContext('gc');
  if (typeof collect !== 'function') throw new Error('gc is not available');
  return () => void Reflect.apply(collect, undefined, []);
}
