/** The platform's key-value service as the rest of the system sees it. */

import type {Branded} from '@cassiaknot/inventory';
import type {Result} from 'ts-results-es';

/** Identifies a lease of the store. */
export type LeaseId = Branded<'LeaseId'>;

/** One stored value. */
export interface KeyValue {
  readonly key: string;
  readonly value: string;
  /** Store revision of the last write to this key; never 0. */
  readonly revision: number;
}

/** Revision to expect of a key that must not exist yet. */
export const ABSENT_REVISION = 0;

/** The store's answer to a conditional write. */
export type CasOutcome =
  | {readonly kind: 'committed'; readonly revision: number}
  | {readonly kind: 'conflict'; readonly current: KeyValue | undefined};

/**
 * Why a call has no answer.
 *
 * - `unavailable`: the call certainly had no effect.
 * - `ambiguous`: a write may or may not have taken effect.
 * - `limited`: this process's own call limit refused it before it was sent.
 * - `rejected`: the store answered that the call is not acceptable.
 */
export type StoreErrorKind =
  'unavailable' | 'ambiguous' | 'limited' | 'rejected';

/** A failed call to the store. */
export interface StoreError {
  readonly kind: StoreErrorKind;
  readonly message: string;
}

/** Result of a call to the store. */
export type StoreResult<T> = Promise<Result<T, StoreError>>;

/** A conditional write. */
export interface CasRequest {
  readonly key: string;
  readonly value: string;
  /** The key's revision as last read, or {@link ABSENT_REVISION}. */
  readonly expectedRevision: number;
  /** Lease whose end deletes the key. */
  readonly leaseId?: LeaseId;
}

/** A wait for the next write to one key. */
export interface WatchRequest {
  readonly key: string;
  /** Only writes with a greater revision are reported. */
  readonly afterRevision: number;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

/** Key-value service with compare-and-swap, leases and watches. */
export interface KeyValueStore {
  /** Reads one key; `undefined` if it does not exist. */
  get(key: string): StoreResult<KeyValue | undefined>;
  /** Reads up to `limit` keys that start with `prefix`, in key order. */
  list(prefix: string, limit: number): StoreResult<readonly KeyValue[]>;
  /** Writes a key whose revision is still the expected one. */
  compareAndSwap(request: CasRequest): StoreResult<CasOutcome>;
  /** Writes a key whatever its revision. */
  put(key: string, value: string, leaseId?: LeaseId): StoreResult<void>;
  /** Deletes a key; succeeds if it does not exist. */
  delete(key: string): StoreResult<void>;
  /** Waits for a write to a key; `undefined` when the time limit passes. */
  waitForChange(request: WatchRequest): StoreResult<KeyValue | undefined>;
  /** Makes a lease that ends unless it is kept alive. */
  grantLease(ttlMs: number): StoreResult<LeaseId>;
  /** Renews a lease; `false` if it has ended. */
  keepLeaseAlive(leaseId: LeaseId): StoreResult<boolean>;
  /** Ends a lease and deletes its keys. */
  revokeLease(leaseId: LeaseId): StoreResult<void>;
}
