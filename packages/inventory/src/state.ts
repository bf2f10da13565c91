/** Immutable configuration states and the pure functions that derive them. */

import {digestRecords} from './digest.js';
import type {Digest, RecordKey} from './ids.js';
import type {Change} from './change.js';
import type {InventoryRecord, RecordKind} from './records.js';
import {getRecordKey} from './records.js';

/** All records of one configuration version. */
export interface ConfigurationState {
  /** Counts accepted changes; 0 is the empty state. */
  readonly version: number;
  /** Digest of `records`. */
  readonly digest: Digest;
  readonly records: ReadonlyMap<RecordKey, InventoryRecord>;
}

/** The state before any change was accepted. */
export const EMPTY_STATE: ConfigurationState = newState(0, new Map());

/** Builds a state and computes its digest. */
export function newState(
  version: number,
  records: ReadonlyMap<RecordKey, InventoryRecord>,
): ConfigurationState {
  return {version, digest: digestRecords(records), records};
}

/** Builds a state from a list of records, as read from a snapshot. */
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

/** Derives the next state without validating it. */
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
