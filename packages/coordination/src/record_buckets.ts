/**
 * Partition of the records of a state into buckets with one digest each. Two
 * daemons that hold any two versions find the records that differ from these
 * digests, without a common history of changes.
 */

import type {
  ConfigurationState,
  InventoryRecord,
  RecordKey,
} from '@cassiaknot/inventory';
import {digestRecord, getRecordKey} from '@cassiaknot/inventory';
import MurmurHash3 from 'imurmurhash';

/** Number of buckets; part of the protocol between daemons. */
export const RECORD_BUCKET_COUNT = 64;

interface BucketEntry {
  readonly bucket: number;
  readonly hash: number;
}

const bucketEntries = new WeakMap<InventoryRecord, BucketEntry>();

/** Returns one digest per bucket. */
export function digestBuckets(state: ConfigurationState): number[] {
  const digests = new Array<number>(RECORD_BUCKET_COUNT).fill(0);
  for (const record of state.records.values()) {
    const {bucket, hash} = getBucketEntry(record);
    digests[bucket] = ((digests[bucket] ?? 0) ^ hash) >>> 0;
  }
  return digests;
}

/** Returns the buckets of a state whose digests differ from those given. */
export function findDifferingBuckets(
  state: ConfigurationState,
  digests: readonly number[],
): number[] {
  const differing: number[] = [];
  for (const [bucket, digest] of digestBuckets(state).entries()) {
    if (digests[bucket] !== digest) differing.push(bucket);
  }
  return differing;
}

/** Returns the records of some buckets. */
export function getBucketRecords(
  state: ConfigurationState,
  buckets: readonly number[],
): InventoryRecord[] {
  const selected = new Set(buckets);
  const records: InventoryRecord[] = [];
  for (const record of state.records.values()) {
    if (selected.has(getBucketEntry(record).bucket)) records.push(record);
  }
  return records;
}

/** Replaces all records of some buckets and returns the records of the result. */
export function replaceBuckets(
  base: ConfigurationState,
  buckets: readonly number[],
  replacements: readonly InventoryRecord[],
): InventoryRecord[] {
  const replaced = new Set(buckets);
  const records = new Map<RecordKey, InventoryRecord>();
  for (const [key, record] of base.records) {
    if (!replaced.has(getBucketEntry(record).bucket)) records.set(key, record);
  }
  for (const record of replacements) records.set(getRecordKey(record), record);
  return [...records.values()];
}

function getBucketEntry(record: InventoryRecord): BucketEntry {
  const cached = bucketEntries.get(record);
  if (cached) return cached;
  const keyHash = MurmurHash3(getRecordKey(record)).result();
  const entry = {
    bucket: keyHash % RECORD_BUCKET_COUNT,
    hash: MurmurHash3(digestRecord(record)).result(),
  };
  bucketEntries.set(record, entry);
  return entry;
}
