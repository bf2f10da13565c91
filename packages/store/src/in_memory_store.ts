/** In-memory key-value store, for one process or behind a test server. */

import {brandId} from '@cassiaknot/inventory';
import type {Result} from 'ts-results-es';
import {Err, Ok} from 'ts-results-es';
import {
  SUPERSEDED_ERROR,
  getLeaseGeneration,
  getStoreLease,
  getStoreRevision,
  isRevisionVoid,
  qualifyLease,
  qualifyRevision,
} from './generations.js';
import type {
  CasOutcome,
  CasRequest,
  KeyValue,
  KeyValueStore,
  LeaseId,
  StoreError,
  StoreResult,
  WatchRequest,
} from './types.js';
import {ABSENT_REVISION} from './types.js';

interface Entry extends KeyValue {
  readonly leaseId?: LeaseId | undefined;
}

interface Lease {
  readonly ttlMs: number;
  timer: NodeJS.Timeout;
}

type KeyListener = (change: KeyValue | StoreError) => void;

/** State of an {@link InMemoryStore} at one time. */
export interface StoreCopy {
  readonly entries: ReadonlyMap<string, Entry>;
  readonly leaseTtlsMs: ReadonlyMap<LeaseId, number>;
  readonly revision: number;
  readonly leaseCount: number;
}

/** Holds all keys in memory; calls never fail. */
export class InMemoryStore implements KeyValueStore {
  private readonly entries = new Map<string, Entry>();
  private readonly leases = new Map<LeaseId, Lease>();
  private readonly listeners = new Map<string, Set<KeyListener>>();
  private revision = 0;
  private leaseCount = 0;
  private generation = 0;
  private readonly restoreListeners: Array<() => void> = [];

  /** Copies the state, leases included. */
  takeCopy(): StoreCopy {
    const {revision, leaseCount} = this;
    const leaseTtlsMs = new Map<LeaseId, number>();
    for (const [id, lease] of this.leases) leaseTtlsMs.set(id, lease.ttlMs);
    const entries = new Map(this.entries);
    return {entries, leaseTtlsMs, revision, leaseCount};
  }

  /**
   * Comes back from a copy: later writes and leases are gone, and their revisions
   * and ids are issued again. Leases of the copy begin anew.
   */
  restore(copy: StoreCopy): void {
    for (const lease of this.leases.values()) clearTimeout(lease.timer);
    this.leases.clear();
    this.entries.clear();
    this.generation += 1;
    this.revision = copy.revision;
    this.leaseCount = copy.leaseCount;
    for (const [key, entry] of copy.entries) {
      const revision = qualifyRevision(
        this.generation,
        getStoreRevision(entry.revision),
      );
      this.entries.set(key, {...entry, revision});
    }
    for (const [id, ttlMs] of copy.leaseTtlsMs) {
      this.leases.set(id, {ttlMs, timer: this.startLeaseTimer(id, ttlMs)});
    }
    for (const listeners of this.listeners.values()) {
      for (const listener of [...listeners]) listener(SUPERSEDED_ERROR);
    }
    for (const listener of this.restoreListeners) listener();
  }

  /** Number of times that the store has come back from a copy. */
  getGeneration(): number {
    return this.generation;
  }

  onRestored(listener: () => void): void {
    this.restoreListeners.push(listener);
  }

  get(key: string): StoreResult<KeyValue | undefined> {
    return Promise.resolve(Ok(this.entries.get(key)));
  }

  list(prefix: string, limit: number): StoreResult<readonly KeyValue[]> {
    const found = [...this.entries.values()]
      .filter(entry => entry.key.startsWith(prefix))
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    return Promise.resolve(Ok(found.slice(0, limit)));
  }

  getStaleRevision(): StoreResult<number> {
    const revision = qualifyRevision(this.generation, this.revision);
    return Promise.resolve(Ok(revision));
  }

  compareAndSwap(request: CasRequest): StoreResult<CasOutcome> {
    if (this.isVoid(request.expectedRevision, request.leaseId)) {
      return Promise.resolve(Err(SUPERSEDED_ERROR));
    }
    const current = this.entries.get(request.key);
    const revision = current?.revision ?? ABSENT_REVISION;
    if (revision !== request.expectedRevision) {
      const conflict: CasOutcome = {kind: 'conflict', current};
      return Promise.resolve(Ok(conflict));
    }
    const written = this.write(request.key, request.value, request.leaseId);
    const committed: CasOutcome = {
      kind: 'committed',
      revision: written.revision,
    };
    return Promise.resolve(Ok(committed));
  }

  put(key: string, value: string, leaseId?: LeaseId): StoreResult<void> {
    if (this.isVoid(ABSENT_REVISION, leaseId)) {
      return Promise.resolve(Err(SUPERSEDED_ERROR));
    }
    this.write(key, value, leaseId);
    return Promise.resolve(Ok(undefined));
  }

  delete(key: string): StoreResult<void> {
    if (this.entries.delete(key)) this.revision += 1;
    return Promise.resolve(Ok(undefined));
  }

  async waitForChange(
    request: WatchRequest,
  ): StoreResult<KeyValue | undefined> {
    if (this.isVoid(request.afterRevision, undefined)) {
      return Err(SUPERSEDED_ERROR);
    }
    const current = this.entries.get(request.key);
    if (current && current.revision > request.afterRevision) return Ok(current);
    return this.waitForWrite(request);
  }

  grantLease(ttlMs: number): StoreResult<LeaseId> {
    this.leaseCount += 1;
    const leaseId = brandId<LeaseId>(String(this.leaseCount));
    const timer = this.startLeaseTimer(leaseId, ttlMs);
    this.leases.set(leaseId, {ttlMs, timer});
    return Promise.resolve(Ok(qualifyLease(this.generation, leaseId)));
  }

  keepLeaseAlive(leaseId: LeaseId): StoreResult<boolean> {
    const id = this.findLease(leaseId);
    const lease = id && this.leases.get(id);
    if (!id || !lease) return Promise.resolve(Ok(false));
    clearTimeout(lease.timer);
    lease.timer = this.startLeaseTimer(id, lease.ttlMs);
    return Promise.resolve(Ok(true));
  }

  revokeLease(leaseId: LeaseId): StoreResult<void> {
    const id = this.findLease(leaseId);
    if (id) this.removeLease(id);
    return Promise.resolve(Ok(undefined));
  }

  /** Returns the number of keys that start with `prefix`. */
  countKeys(prefix: string): number {
    let count = 0;
    for (const key of this.entries.keys()) {
      if (key.startsWith(prefix)) count += 1;
    }
    return count;
  }

  private isVoid(revision: number, leaseId: LeaseId | undefined): boolean {
    if (isRevisionVoid(revision, this.generation)) return true;
    return leaseId !== undefined && !this.findLease(leaseId);
  }

  // The id as stored; undefined for a lease of an earlier generation.
  private findLease(leaseId: LeaseId): LeaseId | undefined {
    if (getLeaseGeneration(leaseId) !== this.generation) return undefined;
    return brandId<LeaseId>(getStoreLease(leaseId));
  }

  private write(key: string, value: string, lease?: LeaseId): Entry {
    this.revision += 1;
    const revision = qualifyRevision(this.generation, this.revision);
    const leaseId = lease && this.findLease(lease);
    const entry: Entry = {key, value, revision, leaseId};
    this.entries.set(key, entry);
    for (const listener of [...(this.listeners.get(key) ?? [])]) {
      listener(entry);
    }
    return entry;
  }

  private waitForWrite(
    request: WatchRequest,
  ): Promise<Result<KeyValue | undefined, StoreError>> {
    return new Promise(resolve => {
      const listeners = this.getListeners(request.key);
      const finish = (change: KeyValue | StoreError | undefined) => {
        clearTimeout(timer);
        listeners.delete(finish);
        request.signal?.removeEventListener('abort', onAbort);
        resolve(change && 'kind' in change ? Err(change) : Ok(change));
      };
      const onAbort = () => finish(undefined);
      const timer = setTimeout(onAbort, request.timeoutMs);
      listeners.add(finish);
      request.signal?.addEventListener('abort', onAbort);
    });
  }

  private getListeners(key: string): Set<KeyListener> {
    const existing = this.listeners.get(key);
    if (existing) return existing;
    const listeners = new Set<KeyListener>();
    this.listeners.set(key, listeners);
    return listeners;
  }

  private startLeaseTimer(leaseId: LeaseId, ttlMs: number): NodeJS.Timeout {
    return setTimeout(() => this.removeLease(leaseId), ttlMs).unref();
  }

  private removeLease(leaseId: LeaseId): void {
    const lease = this.leases.get(leaseId);
    if (!lease) return;
    clearTimeout(lease.timer);
    this.leases.delete(leaseId);
    for (const entry of [...this.entries.values()]) {
      if (entry.leaseId === leaseId) this.entries.delete(entry.key);
    }
  }
}
