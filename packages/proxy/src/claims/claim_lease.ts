/**
 * The store lease to which claims are attached. The horizon is the minimum time
 * for which a claim is kept. A lease has a TTL of two horizons, is used for new
 * claims during the first one and is never renewed, so that each claim lasts
 * for at least one horizon and then expires without a store call.
 */

import type {KeyValueStore, LeaseId, StoreError} from '@cassiaknot/store';
import type {Result} from 'ts-results-es';
import {Err, Ok} from 'ts-results-es';

const TTL_IN_HORIZONS = 2;

interface GrantedLease {
  readonly leaseId: LeaseId;
  readonly grantedAtMs: number;
}

/** Provides a lease that stays valid for at least one more horizon. */
export class ClaimLease {
  private lease: GrantedLease | undefined;
  private pendingGrant: Promise<Result<LeaseId, StoreError>> | undefined;

  constructor(
    private readonly store: KeyValueStore,
    private readonly horizonMs: number,
  ) {}

  /** Returns the current lease, or a new one if it is older than a horizon. */
  async get(): Promise<Result<LeaseId, StoreError>> {
    const lease = this.lease;
    if (lease && performance.now() - lease.grantedAtMs < this.horizonMs) {
      return Ok(lease.leaseId);
    }
    this.pendingGrant ??= this.grant();
    const result = await this.pendingGrant;
    this.pendingGrant = undefined;
    return result;
  }

  /** Drops the lease after the store rejected a call that used it. */
  invalidate(): void {
    this.lease = undefined;
  }

  private async grant(): Promise<Result<LeaseId, StoreError>> {
    // The store's TTL may start at any time during the call, so the age is
    // measured from before it.
    const grantedAtMs = performance.now();
    const ttlMs = this.horizonMs * TTL_IN_HORIZONS;
    const lease = await this.store.grantLease(ttlMs);
    if (lease.isErr()) return Err(lease.error);
    this.lease = {leaseId: lease.value, grantedAtMs};
    return Ok(lease.value);
  }
}
