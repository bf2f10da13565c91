/**
 * The table of all members. Merging is commutative and idempotent, so tables
 * that have received the same records converge regardless of the order.
 */

import type {InstanceId} from '@cassiaknot/inventory';
import type {MemberRecord, MemberState} from '@cassiaknot/peer-protocol';
import MurmurHash3 from 'imurmurhash';
import {MEMBER_BUCKET_COUNT, TOMBSTONE_TTL_MS} from './constants.js';

/** Result of merging a record. */
export type MergeOutcome =
  /** The record was newer and has been stored. */
  | 'applied'
  /** The table holds a record of the same incarnation and precedence. */
  | 'known'
  /** The table holds a newer record. */
  | 'stale';

const STATE_PRECEDENCE: Readonly<Record<MemberState, number>> = {
  joining: 0,
  serving: 0,
  draining: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

/** Whether a member in this state may still respond to peers. */
export function isLiveState(state: MemberState): boolean {
  return state !== 'dead' && state !== 'left';
}

/**
 * Whether the first record replaces the second: a higher incarnation wins, then
 * the state of higher precedence.
 */
export function isNewerRecord(
  record: MemberRecord,
  other: MemberRecord,
): boolean {
  if (record.incarnation !== other.incarnation) {
    return record.incarnation > other.incarnation;
  }
  return STATE_PRECEDENCE[record.state] > STATE_PRECEDENCE[other.state];
}

/** Holds the newest record of each member. */
export class MemberTable {
  private readonly records = new Map<InstanceId, MemberRecord>();
  private readonly departedAtMs = new Map<InstanceId, number>();
  private readonly buckets = Array.from(
    {length: MEMBER_BUCKET_COUNT},
    () => new Set<InstanceId>(),
  );
  private readonly bucketDigests = new Array<number>(MEMBER_BUCKET_COUNT).fill(
    0,
  );

  /** Stores a record if it is newer than the current one. */
  merge(record: MemberRecord): MergeOutcome {
    const current = this.records.get(record.instanceId);
    if (current && !isNewerRecord(record, current)) {
      return isNewerRecord(current, record) ? 'stale' : 'known';
    }
    this.records.set(record.instanceId, record);
    this.buckets[getBucketIndex(record.instanceId)]?.add(record.instanceId);
    if (current) this.toggleDigest(current);
    this.toggleDigest(record);
    if (isLiveState(record.state)) this.departedAtMs.delete(record.instanceId);
    else this.departedAtMs.set(record.instanceId, performance.now());
    return 'applied';
  }

  get(instanceId: InstanceId): MemberRecord | undefined {
    return this.records.get(instanceId);
  }

  /** Returns all records, including those of members that died or left. */
  getAll(): IterableIterator<MemberRecord> {
    return this.records.values();
  }

  /**
   * Returns the members that died, and those that left since the given time.
   */
  getDeparted(leftSinceMs: number): MemberRecord[] {
    const departed: MemberRecord[] = [];
    for (const [instanceId, departedAtMs] of this.departedAtMs) {
      const record = this.records.get(instanceId);
      if (!record) continue;
      if (record.state === 'dead' || departedAtMs >= leftSinceMs) {
        departed.push(record);
      }
    }
    return departed;
  }

  /**
   * Returns the digest of all live records; equal tables have equal digests.
   */
  getDigest(): number {
    let digest = 0;
    for (const bucketDigest of this.bucketDigests) digest ^= bucketDigest;
    return digest;
  }

  /** Returns the digest of the live records in each bucket. */
  getBucketDigests(): readonly number[] {
    return [...this.bucketDigests];
  }

  /** Returns the indexes of the buckets whose digests differ. */
  findDifferingBuckets(digests: readonly number[]): number[] {
    const differing: number[] = [];
    for (const [bucket, digest] of this.bucketDigests.entries()) {
      if (digests[bucket] !== digest) differing.push(bucket);
    }
    return differing;
  }

  /** Returns the live records in the given buckets. */
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

  /** Removes members that died or left longer ago than the tombstone TTL. */
  expireTombstones(nowMs: number): void {
    const cutoffMs = nowMs - TOMBSTONE_TTL_MS;
    for (const [instanceId, departedAtMs] of this.departedAtMs) {
      if (departedAtMs > cutoffMs) continue;
      this.departedAtMs.delete(instanceId);
      this.records.delete(instanceId);
      this.buckets[getBucketIndex(instanceId)]?.delete(instanceId);
    }
  }

  // XOR is its own inverse, so toggling a record twice removes it.
  private toggleDigest(record: MemberRecord): void {
    if (!isLiveState(record.state)) return;
    const bucket = getBucketIndex(record.instanceId);
    const digest = this.bucketDigests[bucket] ?? 0;
    this.bucketDigests[bucket] = digest ^ computeMemberDigest(record);
  }
}

function getBucketIndex(instanceId: InstanceId): number {
  return MurmurHash3(instanceId).result() % MEMBER_BUCKET_COUNT;
}

function computeMemberDigest(record: MemberRecord): number {
  return MurmurHash3(record.instanceId)
    .hash(`|${record.incarnation}|${STATE_PRECEDENCE[record.state]}`)
    .result();
}
