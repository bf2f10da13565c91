/** A store that loses calls, answers and time, for tests. */

import type {Result} from 'ts-results-es';
import {Err} from 'ts-results-es';
import type {
  CasOutcome,
  CasRequest,
  KeyValue,
  KeyValueStore,
  LeaseId,
  StoreError,
  StoreErrorKind,
  StoreResult,
  WatchRequest,
} from '../types.js';

/**
 * What happens to one call.
 *
 * - `lose-call`: the call has no effect; a writer can't know that.
 * - `lose-answer`: the call takes effect; a writer can't know that.
 * - `delay-call`: a write fails for its writer and takes effect later.
 * - `unavailable`: the call certainly has no effect.
 */
export type CallFault =
  'none' | 'lose-call' | 'lose-answer' | 'delay-call' | 'unavailable';

/** Chooses the fault of each call. */
export type FaultPlan = (isWrite: boolean) => CallFault;

/** Orders the calls of several users of one store. */
export type CallOrder = <T>(call: () => Promise<T>) => Promise<T>;

/** Wraps a store and applies a fault to each call. */
export class FaultyStore implements KeyValueStore {
  private readonly delayed: Array<() => Promise<unknown>> = [];

  constructor(
    private readonly store: KeyValueStore,
    private readonly plan: FaultPlan,
    private readonly order: CallOrder = call => call(),
  ) {}

  /** Lets the oldest delayed write take effect now. */
  async applyOldestDelayed(): Promise<void> {
    await this.delayed.shift()?.();
  }

  /** Lets all delayed writes take effect now. */
  async applyAllDelayed(): Promise<void> {
    while (this.delayed.length > 0) await this.applyOldestDelayed();
  }

  get(key: string): StoreResult<KeyValue | undefined> {
    return this.run(false, () => this.store.get(key));
  }

  list(prefix: string, limit: number): StoreResult<readonly KeyValue[]> {
    return this.run(false, () => this.store.list(prefix, limit));
  }

  compareAndSwap(request: CasRequest): StoreResult<CasOutcome> {
    return this.run(true, () => this.store.compareAndSwap(request));
  }

  put(key: string, value: string, leaseId?: LeaseId): StoreResult<void> {
    return this.run(true, () => this.store.put(key, value, leaseId));
  }

  delete(key: string): StoreResult<void> {
    return this.run(true, () => this.store.delete(key));
  }

  async waitForChange(
    request: WatchRequest,
  ): Promise<Result<KeyValue | undefined, StoreError>> {
    const change = await this.run(false, () =>
      this.store.waitForChange(request),
    );
    // The way to the store may have been cut while the watch was waiting.
    return this.plan(false) === 'none' ? change : newError('unavailable');
  }

  grantLease(ttlMs: number): StoreResult<LeaseId> {
    return this.run(true, () => this.store.grantLease(ttlMs));
  }

  keepLeaseAlive(leaseId: LeaseId): StoreResult<boolean> {
    return this.run(true, () => this.store.keepLeaseAlive(leaseId));
  }

  revokeLease(leaseId: LeaseId): StoreResult<void> {
    return this.run(true, () => this.store.revokeLease(leaseId));
  }

  private run<T>(
    isWrite: boolean,
    call: () => StoreResult<T>,
  ): Promise<Result<T, StoreError>> {
    const fault = this.plan(isWrite);
    return this.order(() => this.runWithFault(fault, isWrite, call));
  }

  private async runWithFault<T>(
    fault: CallFault,
    isWrite: boolean,
    call: () => StoreResult<T>,
  ): Promise<Result<T, StoreError>> {
    const lost = newError(isWrite ? 'ambiguous' : 'unavailable');
    switch (fault) {
      case 'none':
        return call();
      case 'unavailable':
        return newError('unavailable');
      case 'lose-call':
        return lost;
      case 'lose-answer':
        await call();
        return lost;
      case 'delay-call':
        if (isWrite) this.delayed.push(call);
        return lost;
    }
  }
}

function newError(kind: StoreErrorKind): Err<StoreError> {
  return Err({kind, message: 'fault of a test'});
}
