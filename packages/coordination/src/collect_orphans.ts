/** Deletes changes and snapshots that no head names. */

import type {KeyValue, KeyValueStore} from '@cassiaknot/store';
import type {Result} from 'ts-results-es';
import {Err, Ok} from 'ts-results-es';
import type {ConfigurationHead} from './configuration_head.js';
import {
  CHANGE_PREFIX,
  SNAPSHOT_PREFIX,
  getChangeKey,
  getSnapshotPartKey,
} from './configuration_head.js';
import type {LogError} from './configuration_log.js';
import {ConfigurationLog, storeFailed} from './configuration_log.js';

const MAX_LISTED_KEYS = 10_000;

/** Time between the two looks; commits take less or repair themselves. */
export const ORPHAN_AGE_MS = 600_000;

/**
 * Looks twice and deletes what no head named at either look and nobody wrote
 * in between. Returns the number of keys deleted.
 */
export async function collectOrphans(
  store: KeyValueStore,
  ageMs: number,
): Promise<Result<number, LogError>> {
  const first = await findOrphans(store);
  if (first.isErr()) return Err(first.error);
  if (first.value.length === 0) return Ok(0);
  await new Promise(resolve => setTimeout(resolve, ageMs));
  const second = await findOrphans(store);
  if (second.isErr()) return Err(second.error);
  const revisions = new Map(
    first.value.map(({key, revision}) => [key, revision]),
  );
  let deletedCount = 0;
  for (const {key, revision} of second.value) {
    if (revisions.get(key) !== revision) continue;
    const deleted = await store.delete(key);
    if (deleted.isErr()) return storeFailed(deleted.error);
    deletedCount += 1;
  }
  return Ok(deletedCount);
}

// The head is read last, so that it names all that was committed meanwhile.
async function findOrphans(
  store: KeyValueStore,
): Promise<Result<readonly KeyValue[], LogError>> {
  const found: KeyValue[] = [];
  for (const prefix of [CHANGE_PREFIX, SNAPSHOT_PREFIX]) {
    const listed = await store.list(prefix, MAX_LISTED_KEYS);
    if (listed.isErr()) return storeFailed(listed.error);
    found.push(...listed.value);
  }
  const reading = await new ConfigurationLog(store).readHead();
  if (reading.isErr()) return Err(reading.error);
  const named = listNamedKeys(reading.value.head);
  return Ok(found.filter(({key}) => !named.has(key)));
}

function listNamedKeys(head: ConfigurationHead): ReadonlySet<string> {
  const named = new Set<string>();
  for (const {changeId} of head.history) named.add(getChangeKey(changeId));
  const {snapshot} = head;
  for (let part = 0; part < (snapshot?.partCount ?? 0); part += 1) {
    named.add(getSnapshotPartKey(snapshot?.snapshotId ?? '', part));
  }
  return named;
}
