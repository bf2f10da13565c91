/** Interface of the key-value service. */

import type {Branded} from '@cassiaknot/inventory';
import type {Result} from 'ts-results-es';

/** Identifies a lease of the store. */
export type LeaseId = Branded<'LeaseId'>;

/** A stored key and its value. */
export interface KeyValue {
  readonly key: string;
  readonly value: string;
  /**
   * Store revision of the last write to this key; always above 0. Revisions from
   * before the store came back from an older copy are below all later ones.
   */
  readonly revision: number;
}

/** Expected revision for a write that requires the key to be absent. */
export const ABSENT_REVISION = 0;

/** Outcome of a compare-and-swap. */
export type CasOutcome =
  | {readonly kind: 'committed'; readonly revision: number}
  | {readonly kind: 'conflict'; readonly current: KeyValue | undefined};

/**
 * Why a call failed.
 *
 * - `unavailable`: the call certainly had no effect.
 * - `ambiguous`: a write may or may not have taken effect.
 * - `limited`: the client-side call limit refused the call before it was sent.
 * - `rejected`: the store responded that it does not accept the call.
 * - `superseded`: the call used a revision or a lease from before the store came
 *   back from an older copy, and had no effect.
 */
export type StoreErrorKind =
  'unavailable' | 'ambiguous' | 'limited' | 'rejected' | 'superseded';

/** Error of a failed call to the store. */
export interface StoreError {
  readonly kind: StoreErrorKind;
  readonly message: string;
}

/** Result of a call to the store. */
export type StoreResult<T> = Promise<Result<T, StoreError>>;

/** A write on condition that the revision of the key is unchanged. */
export interface CasRequest {
  readonly key: string;
  readonly value: string;
  /** The key's revision as last read, or {@link ABSENT_REVISION}. */
  readonly expectedRevision: number;
  /** Lease to attach; the key is deleted when the lease ends. */
  readonly leaseId?: LeaseId;
}

/** Watches one key for its next write. */
export interface WatchRequest {
  readonly key: string;
  /** Only writes with a greater revision are reported. */
  readonly afterRevision: number;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

/** Options of a read. */
export interface ReadOptions {
  /**
   * Whether the response may be seconds old. Stale reads are cheaper and do not
   * count towards the rates of the store.
   */
  readonly mayBeStale?: boolean;
  /** Aborting it ends the call as unavailable. */
  readonly signal?: AbortSignal;
}

/** Kinds of calls, as counted. */
export type StoreOperation =
  | 'get'
  | 'stale-get'
  | 'list'
  | 'stale-list'
  | 'compare-and-swap'
  | 'put'
  | 'delete'
  | 'watch'
  | 'grant-lease'
  | 'renew-lease'
  | 'revoke-lease';

/** Key-value service with compare-and-swap, leases and watches. */
export interface KeyValueStore {
  /** Reads one key; `undefined` if it does not exist. */
  get(key: string, options?: ReadOptions): StoreResult<KeyValue | undefined>;
  /** Reads up to `limit` keys that start with `prefix`, in key order. */
  list(
    prefix: string,
    limit: number,
    options?: ReadOptions,
  ): StoreResult<readonly KeyValue[]>;
  /**
   * Reads the revision of the whole store, which each write increases. The
   * response may be seconds old.
   */
  getStaleRevision(): StoreResult<number>;
  /** Writes a key if its revision is still the expected one. */
  compareAndSwap(request: CasRequest): StoreResult<CasOutcome>;
  /** Writes a key unconditionally. */
  put(key: string, value: string, leaseId?: LeaseId): StoreResult<void>;
  /** Deletes a key; succeeds even if the key does not exist. */
  delete(key: string): StoreResult<void>;
  /**
   * Waits for a write to a key; `undefined` on timeout or abort. A deletion
   * does not end the wait.
   */
  waitForChange(request: WatchRequest): StoreResult<KeyValue | undefined>;
  /** Grants a lease that expires after `ttlMs` unless it is renewed. */
  grantLease(ttlMs: number): StoreResult<LeaseId>;
  /** Renews a lease; `false` if it has expired or was revoked. */
  keepLeaseAlive(leaseId: LeaseId): StoreResult<boolean>;
  /** Revokes a lease and deletes its keys. */
  revokeLease(leaseId: LeaseId): StoreResult<void>;
  /**
   * Calls the listener whenever this client notices that the store has come back
   * from an older copy: later writes, leases included, may be gone.
   */
  onRestored(listener: () => void): void;
}
