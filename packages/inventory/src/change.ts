/** Changes: records put and removed against a base version. */

import {randomUUID} from 'node:crypto';
import {z} from 'zod';
import {digestRecord} from './digest.js';
import type {ChangeId, RecordKey} from './ids.js';
import {brandId} from './ids.js';
import type {InventoryRecord} from './records.js';
import {RECORD_SCHEMA, getRecordKey} from './records.js';
import type {ConfigurationState} from './state.js';

/** Checks a change read from the store or a peer. */
export const CHANGE_SCHEMA = z.strictObject({
  changeId: z
    .string()
    .min(1)
    .max(100)
    .transform(value => brandId<ChangeId>(value)),
  author: z.string().min(1).max(200),
  baseVersion: z.number().int().min(0),
  puts: z.array(RECORD_SCHEMA),
  removes: z.array(
    z
      .string()
      .max(200)
      .transform(value => brandId<RecordKey>(value)),
  ),
});

/** One operator's edit, as a set of whole records. */
export type Change = z.infer<typeof CHANGE_SCHEMA>;

/** Makes a change with a fresh id. */
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

/** Derives the change that turns `state` into exactly `desired`. */
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
