/**
 * The table of all members. Merging is commutative and idempotent, so tables
 * that have seen the same records agree whatever the order of arrival.
 */

import type {InstanceId} from '@cassiaknot/inventory';
import type {MemberRecord, MemberState} from '@cassiaknot/peer-protocol';
import MurmurHash3 from 'imurmurhash';
import {MEMBER_BUCKET_COUNT, TOMBSTONE_TTL_MS} from './constants.js';

/** What became of a merged record. */
export type MergeOutcome =
  /** The record was newer and is now in the table. */
  | 'applied'
  /** The table already held exactly this record. */
  | 'known'
  /** The table holds a newer record. */
  | 'stale';

const SEVERITY: Readonly<Record<MemberState, number>> = {
  joining: 0,
  serving: 0,
  draining: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

/** Whether a member in this state may answer a peer. */
export function isLiveState(state: MemberState): boolean {
  return state !== 'dead' && state !== 'left';
}

/** Whether the first record replaces the second. */
export function isNewerRecord(
  record: MemberRecord,
  other: MemberRecord,
): boolean {
  if (record.incarnation !== other.incarnation) {
    return record.incarnation > other.incarnation;
  }
  return SEVERITY[record.state] > SEVERITY[other.state];
}

/** Holds the newest record of each member. */
export class MemberTable {
  private readonly records = new Map<InstanceId, MemberRecord>();
  private readonly buriedAtMs = new Map<InstanceId, number>();
  private readonly buckets = Array.from(
    {length: MEMBER_BUCKET_COUNT},
    () => new Set<InstanceId>(),
  );
  private readonly bucketDigests = new Array<number>(MEMBER_BUCKET_COUNT).fill(
    0,
  );

  /** Takes over a record if it is newer than the one held. */
  merge(record: MemberRecord): MergeOutcome {
    const current = this.records.get(record.instanceId);
    if (current && !isNewerRecord(record, current)) {
      return isNewerRecord(current, record) ? 'stale' : 'known';
    }
    this.records.set(record.instanceId, record);
    this.buckets[getBucket(record.instanceId)]?.add(record.instanceId);
    if (current) this.toggleDigest(current);
    this.toggleDigest(record);
    if (isLiveState(record.state)) this.buriedAtMs.delete(record.instanceId);
    else this.buriedAtMs.set(record.instanceId, performance.now());
    return 'applied';
  }

  /** Returns the record of a member. */
  get(instanceId: InstanceId): MemberRecord | undefined {
    return this.records.get(instanceId);
  }

  /** Returns all records, also those of members that died or left. */
  getAll(): IterableIterator<MemberRecord> {
    return this.records.values();
  }

  /** Members that died, or that have left since the given time. */
  getGone(leftSinceMs: number): MemberRecord[] {
    const gone: MemberRecord[] = [];
    for (const [instanceId, buriedAtMs] of this.buriedAtMs) {
      const record = this.records.get(instanceId);
      if (!record) continue;
      if (record.state === 'dead' || buriedAtMs >= leftSinceMs) {
        gone.push(record);
      }
    }
    return gone;
  }

  /** Digest of all live records; equal tables have equal digests. */
  getDigest(): number {
    let digest = 0;
    for (const bucketDigest of this.bucketDigests) digest ^= bucketDigest;
    return digest;
  }

  /** Digest of the live records of each bucket. */
  getBucketDigests(): readonly number[] {
    return [...this.bucketDigests];
  }

  /** Returns the numbers of the buckets whose digest differs. */
  findDifferingBuckets(digests: readonly number[]): number[] {
    const differing: number[] = [];
    for (const [bucket, digest] of this.bucketDigests.entries()) {
      if (digests[bucket] !== digest) differing.push(bucket);
    }
    return differing;
  }

  /** Returns the live records of some buckets. */
  getBucketRecords(buckets: readonly number[]): MemberRecord[] {
    const found: MemberRecord[] = [];
    for (const bucket of buckets) {
      for (const instanceId of this.buckets[bucket] ?? []) {
        const record = this.records.get(instanceId);
        if (record && isLiveState(record.state)) found.push(record);
      }
    }
    return found;
  }

  /** Forgets members that died or left long ago. */
  collectTombstones(nowMs: number): void {
    const horizonMs = nowMs - TOMBSTONE_TTL_MS;
    for (const [instanceId, buriedAtMs] of this.buriedAtMs) {
      if (buriedAtMs > horizonMs) continue;
      this.buriedAtMs.delete(instanceId);
      this.records.delete(instanceId);
      this.buckets[getBucket(instanceId)]?.delete(instanceId);
    }
  }

  // Exclusive or is its own inverse: toggling twice removes a record.
  private toggleDigest(record: MemberRecord): void {
    if (!isLiveState(record.state)) return;
    const bucket = getBucket(record.instanceId);
    const digest = this.bucketDigests[bucket] ?? 0;
    this.bucketDigests[bucket] = digest ^ digestMember(record);
  }
}

function getBucket(instanceId: InstanceId): number {
  return MurmurHash3(instanceId).result() % MEMBER_BUCKET_COUNT;
}

function digestMember(record: MemberRecord): number {
  return MurmurHash3(record.instanceId)
    .hash(`|${record.incarnation}|${SEVERITY[record.state]}`)
    .result();
}
