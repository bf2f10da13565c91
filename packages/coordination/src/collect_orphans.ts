/** Garbage collection of stored data that the head does not reference. */

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
import {ConfigurationLog, newStoreError} from './configuration_log.js';

const MAX_LISTED_KEYS = 10_000;

/**
 * Time between the two scans. A commit that takes longer writes its change and
 * any snapshot again.
 */
export const ORPHAN_AGE_MS = 600_000;

/**
 * Scans the store twice and deletes the keys that the head referenced in
 * neither scan and that were not written in between. Returns the number of
 * deleted keys.
 */
export async function collectOrphans(
  store: KeyValueStore,
  ageMs: number,
): Promise<Result<number, LogError>> {
  const firstScan = await findOrphans(store);
  if (firstScan.isErr()) return Err(firstScan.error);
  if (firstScan.value.length === 0) return Ok(0);
  await new Promise(resolve => setTimeout(resolve, ageMs));
  const secondScan = await findOrphans(store);
  if (secondScan.isErr()) return Err(secondScan.error);
  const revisions = new Map(
    firstScan.value.map(({key, revision}) => [key, revision]),
  );
  let deletedCount = 0;
  for (const {key, revision} of secondScan.value) {
    if (revisions.get(key) !== revision) continue;
    const deleted = await store.delete(key);
    if (deleted.isErr()) return newStoreError(deleted.error);
    deletedCount += 1;
  }
  return Ok(deletedCount);
}

// The head is read last, so that it references everything committed during the
// listing.
async function findOrphans(
  store: KeyValueStore,
): Promise<Result<readonly KeyValue[], LogError>> {
  const found: KeyValue[] = [];
  for (const prefix of [CHANGE_PREFIX, SNAPSHOT_PREFIX]) {
    const listed = await store.list(prefix, MAX_LISTED_KEYS);
    if (listed.isErr()) return newStoreError(listed.error);
    found.push(...listed.value);
  }
  const reading = await new ConfigurationLog(store).readHead();
  if (reading.isErr()) return Err(reading.error);
  const referenced = listReferencedKeys(reading.value.head);
  return Ok(found.filter(({key}) => !referenced.has(key)));
}

function listReferencedKeys(head: ConfigurationHead): ReadonlySet<string> {
  const referenced = new Set<string>();
  for (const {changeId} of head.history) referenced.add(getChangeKey(changeId));
  const {snapshot} = head;
  for (let part = 0; part < (snapshot?.partCount ?? 0); part += 1) {
    referenced.add(getSnapshotPartKey(snapshot?.snapshotId ?? '', part));
  }
  return referenced;
}
