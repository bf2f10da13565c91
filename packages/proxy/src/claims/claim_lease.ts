/**
 * The lease that claims hang on. It is never renewed: a new one is taken each
 * horizon, so a claim outlives its horizon and then ends without a call.
 */

import type {KeyValueStore, LeaseId, StoreError} from '@cassiaknot/store';
import type {Result} from 'ts-results-es';
import {Err, Ok} from 'ts-results-es';

const TTL_HORIZONS = 2;

interface HeldLease {
  readonly leaseId: LeaseId;
  readonly grantedAtMs: number;
}

/** Hands out a lease that lasts for at least one more horizon. */
export class ClaimLease {
  private held: HeldLease | undefined;
  private pending: Promise<Result<LeaseId, StoreError>> | undefined;

  constructor(
    private readonly store: KeyValueStore,
    private readonly horizonMs: number,
  ) {}

  /** Returns the current lease, taking a new one where it is too old. */
  async get(): Promise<Result<LeaseId, StoreError>> {
    const held = this.held;
    if (held && performance.now() - held.grantedAtMs < this.horizonMs) {
      return Ok(held.leaseId);
    }
    this.pending ??= this.grant();
    const result = await this.pending;
    this.pending = undefined;
    return result;
  }

  /** Forgets the lease after the store refused to use it. */
  forget(): void {
    this.held = undefined;
  }

  private async grant(): Promise<Result<LeaseId, StoreError>> {
    // The age counts from before the call: the store may have granted at once.
    const grantedAtMs = performance.now();
    const ttlMs = this.horizonMs * TTL_HORIZONS;
    const lease = await this.store.grantLease(ttlMs);
    if (lease.isErr()) return Err(lease.error);
    this.held = {leaseId: lease.value, grantedAtMs};
    return Ok(lease.value);
  }
}
