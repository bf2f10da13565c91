/** A store whose calls pass a limiter before they are sent. */

import type {Result} from 'ts-results-es';
import {Err} from 'ts-results-es';
import type {CallLimiter} from './call_limiter.js';
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

const LIMITED: StoreError = {kind: 'limited', message: 'call limit reached'};

/** Refuses calls beyond a rate, so that one process cannot flood the store. */
export class LimitedStore implements KeyValueStore {
  constructor(
    private readonly store: KeyValueStore,
    private readonly limiter: CallLimiter,
    private readonly onRefused: () => void = () => undefined,
  ) {}

  get(key: string): StoreResult<KeyValue | undefined> {
    return this.run(() => this.store.get(key));
  }

  list(prefix: string, limit: number): StoreResult<readonly KeyValue[]> {
    return this.run(() => this.store.list(prefix, limit));
  }

  compareAndSwap(request: CasRequest): StoreResult<CasOutcome> {
    return this.run(() => this.store.compareAndSwap(request));
  }

  put(key: string, value: string, leaseId?: LeaseId): StoreResult<void> {
    return this.run(() => this.store.put(key, value, leaseId));
  }

  delete(key: string): StoreResult<void> {
    return this.run(() => this.store.delete(key));
  }

  async waitForChange(
    request: WatchRequest,
  ): Promise<Result<KeyValue | undefined, StoreError>> {
    if (!this.limiter.tryTake()) return this.refuse();
    // How long a watch waits says nothing about the store.
    this.limiter.recordUnmeasured();
    return this.store.waitForChange(request);
  }

  grantLease(ttlMs: number): StoreResult<LeaseId> {
    return this.run(() => this.store.grantLease(ttlMs));
  }

  keepLeaseAlive(leaseId: LeaseId): StoreResult<boolean> {
    return this.run(() => this.store.keepLeaseAlive(leaseId));
  }

  revokeLease(leaseId: LeaseId): StoreResult<void> {
    return this.run(() => this.store.revokeLease(leaseId));
  }

  private async run<T>(
    call: () => StoreResult<T>,
  ): Promise<Result<T, StoreError>> {
    if (!this.limiter.tryTake()) return this.refuse();
    const startedAtMs = performance.now();
    const result = await call();
    const latencyMs = performance.now() - startedAtMs;
    this.limiter.recordAnswer(latencyMs, isAnswered(result));
    return result;
  }

  private refuse(): Err<StoreError> {
    this.onRefused();
    return Err(LIMITED);
  }
}

function isAnswered<T>(result: Result<T, StoreError>): boolean {
  return result.isOk() || result.error.kind === 'rejected';
}
