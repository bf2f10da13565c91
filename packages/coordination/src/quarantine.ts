/**
 * Remembers requests that were in flight when a target crashed. A suspect runs
 * alone; one that was there at repeated crashes is refused for a while.
 */

import type {Fingerprint} from '@cassiaknot/peer-protocol';
import {LRUCache} from 'lru-cache';

/** Term of a quarantine; an operator has had time to look by then. */
export const QUARANTINE_TTL_MS = 600_000;

/** Bounds of a {@link Quarantine}. */
export interface QuarantineOptions {
  /** Crashes after which a request is refused. */
  readonly crashLimit: number;
  /** Time after the last crash for which a request stays under suspicion. */
  readonly ttlMs: number;
  readonly maxEntries: number;
}

/** How a request may run. */
export type QuarantineVerdict = 'clear' | 'suspect' | 'quarantined';

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

  /** Tells how a request may run. */
  judge(fingerprint: Fingerprint): QuarantineVerdict {
    const crashCount = this.crashCounts.get(fingerprint) ?? 0;
    if (crashCount >= this.options.crashLimit) return 'quarantined';
    return crashCount > 0 ? 'suspect' : 'clear';
  }

  /**
   * Records that a request was in flight at a crash; returns its count. Only a
   * request that ran alone is blamed again: beside others it may be innocent.
   */
  recordCrash(fingerprint: Fingerprint, ranAlone: boolean): number {
    const known = this.crashCounts.get(fingerprint) ?? 0;
    const crashCount = ranAlone ? known + 1 : Math.max(known, 1);
    this.crashCounts.set(fingerprint, crashCount);
    return crashCount;
  }

  /** Clears a request that ran to its end. */
  acquit(fingerprint: Fingerprint): void {
    this.crashCounts.delete(fingerprint);
  }

  /** Takes over a peer's count; returns whether it was news. */
  learn(fingerprint: Fingerprint, crashCount: number, ttlMs: number): boolean {
    if (crashCount <= (this.crashCounts.get(fingerprint) ?? 0)) return false;
    const ttl = Math.max(1, Math.min(ttlMs, this.options.ttlMs));
    this.crashCounts.set(fingerprint, crashCount, {ttl});
    return true;
  }
}
