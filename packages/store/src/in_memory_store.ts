/** In-memory key-value store, for one process or behind a test server. */

import {brandId} from '@cassiaknot/inventory';
import {Ok} from 'ts-results-es';
import type {
  CasOutcome,
  CasRequest,
  KeyValue,
  KeyValueStore,
  LeaseId,
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

type KeyListener = (change: KeyValue) => void;

/** Holds all keys in memory; calls never fail. */
export class InMemoryStore implements KeyValueStore {
  private readonly entries = new Map<string, Entry>();
  private readonly leases = new Map<LeaseId, Lease>();
  private readonly listeners = new Map<string, Set<KeyListener>>();
  private revision = 0;
  private leaseCount = 0;

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
    return Promise.resolve(Ok(this.revision));
  }

  compareAndSwap(request: CasRequest): StoreResult<CasOutcome> {
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
    const current = this.entries.get(request.key);
    if (current && current.revision > request.afterRevision) return Ok(current);
    return Ok(await this.waitForWrite(request));
  }

  grantLease(ttlMs: number): StoreResult<LeaseId> {
    this.leaseCount += 1;
    const leaseId = brandId<LeaseId>(String(this.leaseCount));
    const timer = this.startLeaseTimer(leaseId, ttlMs);
    this.leases.set(leaseId, {ttlMs, timer});
    return Promise.resolve(Ok(leaseId));
  }

  keepLeaseAlive(leaseId: LeaseId): StoreResult<boolean> {
    const lease = this.leases.get(leaseId);
    if (!lease) return Promise.resolve(Ok(false));
    clearTimeout(lease.timer);
    lease.timer = this.startLeaseTimer(leaseId, lease.ttlMs);
    return Promise.resolve(Ok(true));
  }

  revokeLease(leaseId: LeaseId): StoreResult<void> {
    this.removeLease(leaseId);
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

  private write(key: string, value: string, leaseId?: LeaseId): Entry {
    this.revision += 1;
    const entry: Entry = {key, value, revision: this.revision, leaseId};
    this.entries.set(key, entry);
    for (const listener of [...(this.listeners.get(key) ?? [])]) {
      listener(entry);
    }
    return entry;
  }

  private waitForWrite(request: WatchRequest): Promise<KeyValue | undefined> {
    return new Promise(resolve => {
      const listeners = this.getListeners(request.key);
      const finish = (change: KeyValue | undefined) => {
        clearTimeout(timer);
        listeners.delete(finish);
        request.signal?.removeEventListener('abort', onAbort);
        resolve(change);
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
