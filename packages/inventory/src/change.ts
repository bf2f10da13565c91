/** Changes to the configuration: records to put and remove. */

import {randomUUID} from 'node:crypto';
import {z} from 'zod';
import {digestRecord} from './digest.js';
import type {ChangeId, RecordKey} from './ids.js';
import {brandId} from './ids.js';
import type {InventoryRecord} from './records.js';
import {RECORD_SCHEMA, getRecordKey} from './records.js';
import type {ConfigurationState} from './state.js';

/** Validates a change that was read from the store or received from a peer. */
export const CHANGE_SCHEMA = z.strictObject({
  changeId: z
    .string()
    .min(1)
    .max(100)
    .transform(value => brandId<ChangeId>(value)),
  author: z.string().min(1).max(200),
  /** Version against which the change was made. */
  baseVersion: z.number().int().min(0),
  puts: z.array(RECORD_SCHEMA),
  removes: z.array(
    z
      .string()
      .max(200)
      .transform(value => brandId<RecordKey>(value)),
  ),
});

/** One edit by an operator; records in `puts` replace the old ones whole. */
export type Change = z.infer<typeof CHANGE_SCHEMA>;

/** Creates a change with a random id. */
export function newChange(
  author: string,
  baseVersion: number,
  puts: readonly InventoryRecord[],
  removes: readonly RecordKey[] = [],
): Change {
  return {
    changeId: brandId<ChangeId>(randomUUID()),
    author,
    baseVersion,
    puts: [...puts],
    removes: [...removes],
  };
}

/** Returns the keys of all records that a change puts or removes. */
export function getTouchedKeys(change: Change): ReadonlySet<RecordKey> {
  return new Set([...change.puts.map(getRecordKey), ...change.removes]);
}

/** Whether a change puts and removes nothing. */
export function isEmptyChange(change: Change): boolean {
  return change.puts.length === 0 && change.removes.length === 0;
}

/** Computes the change that turns the records of `state` into `desired`. */
export function diffStates(
  state: ConfigurationState,
  desired: ReadonlyMap<RecordKey, InventoryRecord>,
  author: string,
): Change {
  const puts: InventoryRecord[] = [];
  const removes: RecordKey[] = [];
  for (const [key, record] of desired) {
    const current = state.records.get(key);
    if (current && digestRecord(current) === digestRecord(record)) continue;
    puts.push(record);
  }
  for (const key of state.records.keys()) {
    if (!desired.has(key)) removes.push(key);
  }
  return newChange(author, state.version, puts, removes);
}
