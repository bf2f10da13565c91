/** Key-value store client that limits and counts its calls. */

import type {Result} from 'ts-results-es';
import {Err} from 'ts-results-es';
import type {CallLimiter} from './call_limiter.js';
import type {
  CasOutcome,
  CasRequest,
  KeyValue,
  KeyValueStore,
  LeaseId,
  ReadOptions,
  StoreError,
  StoreOperation,
  StoreResult,
  WatchRequest,
} from './types.js';

const LIMIT_ERROR: StoreError = {
  kind: 'limited',
  message: 'client-side limit on store calls reached',
};

/** Counts the calls of a {@link LimitedStore}. */
export interface StoreCallObserver {
  /** A call is sent to the store. */
  onCall(operation: StoreOperation): void;
  /** A call was refused by the limit. */
  onRefused(): void;
}

const SILENT_OBSERVER: StoreCallObserver = {
  onCall: () => undefined,
  onRefused: () => undefined,
};

/** Refuses calls above the limit, so that no client can overload the store. */
export class LimitedStore implements KeyValueStore {
  constructor(
    private readonly store: KeyValueStore,
    private readonly limiter: CallLimiter,
    private readonly observer: StoreCallObserver = SILENT_OBSERVER,
  ) {}

  get(
    key: string,
    options: ReadOptions = {},
  ): StoreResult<KeyValue | undefined> {
    const operation = options.mayBeStale === true ? 'stale-get' : 'get';
    return this.run(operation, () => this.store.get(key, options));
  }

  list(
    prefix: string,
    limit: number,
    options: ReadOptions = {},
  ): StoreResult<readonly KeyValue[]> {
    const operation = options.mayBeStale === true ? 'stale-list' : 'list';
    return this.run(operation, () => this.store.list(prefix, limit, options));
  }

  getStaleRevision(): StoreResult<number> {
    return this.run('stale-get', () => this.store.getStaleRevision());
  }

  compareAndSwap(request: CasRequest): StoreResult<CasOutcome> {
    return this.run('compare-and-swap', () =>
      this.store.compareAndSwap(request),
    );
  }

  put(key: string, value: string, leaseId?: LeaseId): StoreResult<void> {
    return this.run('put', () => this.store.put(key, value, leaseId));
  }

  delete(key: string): StoreResult<void> {
    return this.run('delete', () => this.store.delete(key));
  }

  async waitForChange(
    request: WatchRequest,
  ): Promise<Result<KeyValue | undefined, StoreError>> {
    if (!this.limiter.tryAcquire()) return this.refuse();
    // A watch is not counted as in flight while it waits, and its duration does
    // not reflect the load of the store.
    this.limiter.recordIgnored();
    this.observer.onCall('watch');
    return this.store.waitForChange(request);
  }

  grantLease(ttlMs: number): StoreResult<LeaseId> {
    return this.run('grant-lease', () => this.store.grantLease(ttlMs));
  }

  keepLeaseAlive(leaseId: LeaseId): StoreResult<boolean> {
    return this.run('renew-lease', () => this.store.keepLeaseAlive(leaseId));
  }

  revokeLease(leaseId: LeaseId): StoreResult<void> {
    return this.run('revoke-lease', () => this.store.revokeLease(leaseId));
  }

  onRestored(listener: () => void): void {
    this.store.onRestored(listener);
  }

  private async run<T>(
    operation: StoreOperation,
    call: () => StoreResult<T>,
  ): Promise<Result<T, StoreError>> {
    if (!this.limiter.tryAcquire()) return this.refuse();
    this.observer.onCall(operation);
    const startedAtMs = performance.now();
    const result = await call();
    const latencyMs = performance.now() - startedAtMs;
    this.limiter.recordCompletion(latencyMs, hasResponse(result));
    return result;
  }

  private refuse(): Err<StoreError> {
    this.observer.onRefused();
    return Err(LIMIT_ERROR);
  }
}

function hasResponse<T>(result: Result<T, StoreError>): boolean {
  return result.isOk() || result.error.kind === 'rejected';
}
