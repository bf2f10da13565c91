/**
 * Identifies the requests in flight when a target crashed: those whose responses
 * were lost shortly before the target refused a connection.
 */

import type {ServiceId} from '@cassiaknot/inventory';
import type {Fingerprint} from '@cassiaknot/peer-protocol';
import {CRASH_WINDOW_MS} from './constants.js';

/** Tracks requests that may crash targets. */
export interface CrashTracker {
  getStatus(fingerprint: Fingerprint): 'clear' | 'suspect' | 'quarantined';
  /** Records a crash while the request was in flight. */
  reportCrash(serviceId: ServiceId, fingerprint: Fingerprint): void;
  /** Records that the request completed. */
  clear(fingerprint: Fingerprint): void;
}

interface RecentLoss {
  readonly fingerprint: Fingerprint;
  readonly serviceId: ServiceId;
  readonly atMs: number;
}

/** Requests that may have caused a crash. */
export class CrashSuspects {
  private recentLosses: RecentLoss[] = [];

  constructor(private readonly crashTracker: CrashTracker) {}

  /** Records a request whose response was lost. */
  add(serviceId: ServiceId, fingerprint: Fingerprint, atMs: number): void {
    this.dropExpired(atMs);
    this.recentLosses.push({serviceId, fingerprint, atMs});
  }

  /** Reports the recent losses as suspects once the target has crashed. */
  reportCrash(nowMs: number): void {
    this.dropExpired(nowMs);
    for (const {serviceId, fingerprint} of this.recentLosses) {
      this.crashTracker.reportCrash(serviceId, fingerprint);
    }
    this.recentLosses = [];
  }

  private dropExpired(nowMs: number): void {
    const cutoffMs = nowMs - CRASH_WINDOW_MS;
    this.recentLosses = this.recentLosses.filter(loss => loss.atMs >= cutoffMs);
  }
}
