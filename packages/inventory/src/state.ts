/** Immutable configuration states and functions that derive them. */

import {digestRecords} from './digest.js';
import type {Digest, RecordKey} from './ids.js';
import type {Change} from './change.js';
import type {InventoryRecord, RecordKind} from './records.js';
import {getRecordKey} from './records.js';

/** All records of one configuration version. */
export interface ConfigurationState {
  /** 0 for the empty state; rises with each change and may skip numbers. */
  readonly version: number;
  /** Digest of `records`. */
  readonly digest: Digest;
  readonly records: ReadonlyMap<RecordKey, InventoryRecord>;
}

/** State before the first change. */
export const EMPTY_STATE: ConfigurationState = newState(0, new Map());

/** Creates a state and computes its digest. */
export function newState(
  version: number,
  records: ReadonlyMap<RecordKey, InventoryRecord>,
): ConfigurationState {
  return {version, digest: digestRecords(records), records};
}

/** Creates a state from the records of a snapshot. */
export function newStateFromRecords(
  version: number,
  records: readonly InventoryRecord[],
): ConfigurationState {
  return newState(version, indexRecords(records));
}

/** Indexes records by key; a later record replaces an earlier one. */
export function indexRecords(
  records: readonly InventoryRecord[],
): ReadonlyMap<RecordKey, InventoryRecord> {
  return new Map(records.map(record => [getRecordKey(record), record]));
}

/**
 * Applies a change to a state; the result is not validated. `version` is the
 * version of the result.
 */
export function applyChange(
  state: ConfigurationState,
  change: Change,
  version = state.version + 1,
): ConfigurationState {
  const records = new Map(state.records);
  for (const key of change.removes) records.delete(key);
  for (const record of change.puts) records.set(getRecordKey(record), record);
  return newState(version, records);
}

/** Returns the records of one kind, in key order. */
export function getRecordsOfKind<K extends RecordKind>(
  state: ConfigurationState,
  kind: K,
): Array<Extract<InventoryRecord, {kind: K}>> {
  const found: Array<Extract<InventoryRecord, {kind: K}>> = [];
  for (const record of state.records.values()) {
    if (isRecordOfKind(record, kind)) found.push(record);
  }
  return found.sort((left, right) => (left.id < right.id ? -1 : 1));
}

function isRecordOfKind<K extends RecordKind>(
  record: InventoryRecord,
  kind: K,
): record is Extract<InventoryRecord, {kind: K}> {
  return record.kind === kind;
}
