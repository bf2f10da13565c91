/**
 * Tracks requests that were in flight when a target crashed. A suspect request
 * runs alone; one that was in flight at repeated crashes is rejected until its
 * entry expires.
 */

import type {Fingerprint} from '@cassiaknot/peer-protocol';
import {LRUCache} from 'lru-cache';

/** Duration of a quarantine: gives an operator time to investigate. */
export const QUARANTINE_TTL_MS = 600_000;

export interface QuarantineOptions {
  /** Crashes after which a request is rejected. */
  readonly crashLimit: number;
  /** Time for which a request stays suspect after its last crash. */
  readonly ttlMs: number;
  readonly maxEntries: number;
}

/** Whether a request may run with others, alone, or not at all. */
export type QuarantineStatus = 'clear' | 'suspect' | 'quarantined';

/** Counts crashes per request fingerprint. */
export class Quarantine {
  private readonly crashCounts: LRUCache<Fingerprint, number>;

  constructor(private readonly options: QuarantineOptions) {
    this.crashCounts = new LRUCache({
      max: options.maxEntries,
      ttl: options.ttlMs,
      perf: {now: () => performance.now()},
    });
  }

  /** Returns the status of a request. */
  getStatus(fingerprint: Fingerprint): QuarantineStatus {
    const crashCount = this.crashCounts.get(fingerprint) ?? 0;
    if (crashCount >= this.options.crashLimit) return 'quarantined';
    return crashCount > 0 ? 'suspect' : 'clear';
  }

  /**
   * Records that a request was in flight at a crash and returns its crash
   * count. Repeated crashes count only if the request ran alone, because
   * otherwise another request may have caused them.
   */
  recordCrash(fingerprint: Fingerprint, ranAlone: boolean): number {
    const known = this.crashCounts.get(fingerprint) ?? 0;
    const crashCount = ranAlone ? known + 1 : Math.max(known, 1);
    this.crashCounts.set(fingerprint, crashCount);
    return crashCount;
  }

  /** Clears a request that completed without a crash. */
  clear(fingerprint: Fingerprint): void {
    this.crashCounts.delete(fingerprint);
  }

  /** Merges the crash count of a peer; returns whether it was higher. */
  mergePeerCount(
    fingerprint: Fingerprint,
    crashCount: number,
    ttlMs: number,
  ): boolean {
    if (crashCount <= (this.crashCounts.get(fingerprint) ?? 0)) return false;
    const ttl = Math.max(1, Math.min(ttlMs, this.options.ttlMs));
    this.crashCounts.set(fingerprint, crashCount, {ttl});
    return true;
  }
}
