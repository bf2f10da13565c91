/** Writes snapshots to the store and deletes superseded data. */

import type {
  ChangeId,
  ConfigurationState,
  InventoryRecord,
} from '@cassiaknot/inventory';
import type {KeyValueStore} from '@cassiaknot/store';
import type {Result} from 'ts-results-es';
import {Ok} from 'ts-results-es';
import type {
  ConfigurationHead,
  SnapshotReference,
} from './configuration_head.js';
import {getChangeKey, getSnapshotPartKey} from './configuration_head.js';
import type {LogError} from './configuration_log.js';
import {newStoreError} from './configuration_log.js';

const MAX_PART_CHARS = 400_000;

/**
 * Writes a state in parts. The snapshot id contains the id of the change, so
 * that concurrent writers of the same version do not overwrite each other.
 */
export async function writeSnapshot(
  store: KeyValueStore,
  state: ConfigurationState,
  changeId: ChangeId,
): Promise<Result<SnapshotReference, LogError>> {
  const snapshotId = `${state.version}-${changeId}`;
  const parts = splitRecords([...state.records.values()]);
  for (const [part, value] of parts.entries()) {
    const key = getSnapshotPartKey(snapshotId, part);
    const result = await store.put(key, value);
    if (result.isErr()) return newStoreError(result.error);
  }
  const {version, digest} = state;
  return Ok({version, digest, snapshotId, partCount: parts.length});
}

/**
 * Deletes the changes and the snapshot that a new head no longer references. A
 * failure leaves orphans, which are never read.
 */
export async function deleteSuperseded(
  store: KeyValueStore,
  previous: ConfigurationHead,
  next: ConfigurationHead,
): Promise<void> {
  const firstKeptVersion = next.history[0]?.version ?? 0;
  for (const entry of previous.history) {
    if (entry.version >= firstKeptVersion) break;
    await store.delete(getChangeKey(entry.changeId));
  }
  const replaced = previous.snapshot;
  if (!replaced || replaced.snapshotId === next.snapshot?.snapshotId) return;
  for (let part = 0; part < replaced.partCount; part += 1) {
    await store.delete(getSnapshotPartKey(replaced.snapshotId, part));
  }
}

function splitRecords(records: readonly InventoryRecord[]): string[] {
  const parts: string[] = [];
  let current: string[] = [];
  let size = 0;
  for (const record of records) {
    const text = JSON.stringify(record);
    if (size > 0 && size + text.length > MAX_PART_CHARS) {
      parts.push(`[${current.join(',')}]`);
      current = [];
      size = 0;
    }
    current.push(text);
    size += text.length + 1;
  }
  parts.push(`[${current.join(',')}]`);
  return parts;
}
