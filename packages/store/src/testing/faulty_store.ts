/** Injects faults into store calls: lost requests or responses, and delay. */

import type {Result} from 'ts-results-es';
import {Err, Ok} from 'ts-results-es';
import type {
  CasOutcome,
  CasRequest,
  KeyValue,
  KeyValueStore,
  LeaseId,
  ReadOptions,
  StoreError,
  StoreErrorKind,
  StoreResult,
  WatchRequest,
} from '../types.js';

/**
 * Fault injected into one call.
 *
 * - `lose-call`: the call has no effect; a write is reported as ambiguous.
 * - `lose-answer`: the call takes effect; a write is reported as ambiguous.
 * - `delay-call`: a write is reported as ambiguous and takes effect when the
 *   test applies it; a read has no effect.
 * - `unavailable`: the call is reported as failed and has no effect.
 */
export type CallFault =
  'none' | 'lose-call' | 'lose-answer' | 'delay-call' | 'unavailable';

/** Selects the fault to inject into a call. */
export type FaultPlan = (isWrite: boolean) => CallFault;

/** Lets a test decide in which order the calls of several clients run. */
export type CallScheduler = <T>(call: () => Promise<T>) => Promise<T>;

/** Time after the end of a watch at which a client gives up its response. */
const LOST_WATCH_MARGIN_MS = 1_000;

/** Wraps a store and injects a fault into each call. */
export class FaultyStore implements KeyValueStore {
  private readonly delayedWrites: Array<() => Promise<unknown>> = [];
  private silenceCount = 0;

  constructor(
    private readonly store: KeyValueStore,
    private readonly plan: FaultPlan,
    private readonly schedule: CallScheduler = call => call(),
  ) {}

  /** Applies the oldest delayed write. */
  async applyOldestDelayed(): Promise<void> {
    await this.delayedWrites.shift()?.();
  }

  /** Applies all delayed writes, oldest first. */
  async applyAllDelayed(): Promise<void> {
    while (this.delayedWrites.length > 0) await this.applyOldestDelayed();
  }

  /**
   * Silences the connections of the open watches for good: their clients see
   * neither a change nor an error. Connections opened later work.
   */
  silenceOpenWatches(): void {
    this.silenceCount += 1;
  }

  get(key: string, options?: ReadOptions): StoreResult<KeyValue | undefined> {
    return this.run(false, () => this.store.get(key, options));
  }

  list(
    prefix: string,
    limit: number,
    options?: ReadOptions,
  ): StoreResult<readonly KeyValue[]> {
    return this.run(false, () => this.store.list(prefix, limit, options));
  }

  getStaleRevision(): StoreResult<number> {
    return this.run(false, () => this.store.getStaleRevision());
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
    const {silenceCount} = this;
    const startedAtMs = performance.now();
    const change = await this.run(false, () =>
      this.store.waitForChange(request),
    );
    if (silenceCount !== this.silenceCount) {
      const waitedMs = performance.now() - startedAtMs;
      return loseWatch(request, waitedMs);
    }
    // The store may have become unreachable while the watch was waiting.
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

  onRestored(listener: () => void): void {
    this.store.onRestored(listener);
  }

  private run<T>(
    isWrite: boolean,
    call: () => StoreResult<T>,
  ): Promise<Result<T, StoreError>> {
    const fault = this.plan(isWrite);
    return this.schedule(() => this.runWithFault(fault, isWrite, call));
  }

  private async runWithFault<T>(
    fault: CallFault,
    isWrite: boolean,
    call: () => StoreResult<T>,
  ): Promise<Result<T, StoreError>> {
    const lostError = newError(isWrite ? 'ambiguous' : 'unavailable');
    switch (fault) {
      case 'none':
        return call();
      case 'unavailable':
        return newError('unavailable');
      case 'lose-call':
        return lostError;
      case 'lose-answer':
        await call();
        return lostError;
      case 'delay-call':
        if (isWrite) this.delayedWrites.push(call);
        return lostError;
    }
  }
}

async function loseWatch(
  request: WatchRequest,
  waitedMs: number,
): Promise<Result<KeyValue | undefined, StoreError>> {
  const {signal, timeoutMs} = request;
  const leftMs = timeoutMs + LOST_WATCH_MARGIN_MS - waitedMs;
  await new Promise<void>(resolve => {
    if (signal?.aborted === true) resolve();
    signal?.addEventListener('abort', () => resolve());
    setTimeout(resolve, leftMs);
  });
  return signal?.aborted === true ? Ok(undefined) : newError('unavailable');
}

function newError(kind: StoreErrorKind): Err<StoreError> {
  return Err({kind, message: 'injected fault'});
}
