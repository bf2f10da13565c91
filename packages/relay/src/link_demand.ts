/** Services whose links callers need, and requests that wait for the first one. */

import type {ServiceId} from '@cassiaknot/inventory';
import {LINKS_PER_SERVICE, MORE_LINKS} from './constants.js';

/** Tracks the number of links that callers need, by service. */
export class LinkDemand {
  /** Links that should be open, by service. */
  private readonly neededCounts = new Map<ServiceId, number>();
  private readonly waiters = new Map<ServiceId, Set<() => void>>();

  /** Records a request for a service; returns whether it is the first. */
  recordRequest(serviceId: ServiceId): boolean {
    if (this.neededCounts.has(serviceId)) return false;
    this.neededCounts.set(serviceId, LINKS_PER_SERVICE);
    return true;
  }

  /** Records that the open links of a service did not suffice. */
  recordShortage(serviceId: ServiceId, openCount: number): void {
    const neededCount = this.neededCounts.get(serviceId) ?? LINKS_PER_SERVICE;
    const nextCount = Math.max(neededCount, openCount + MORE_LINKS);
    this.neededCounts.set(serviceId, nextCount);
  }

  /** Returns the links that are missing, given those open or being opened. */
  getShortages(
    countLinks: (serviceId: ServiceId) => number,
  ): Map<ServiceId, number> {
    const shortages = new Map<ServiceId, number>();
    for (const [serviceId, neededCount] of this.neededCounts) {
      const missing = neededCount - countLinks(serviceId);
      if (missing > 0) shortages.set(serviceId, missing);
    }
    return shortages;
  }

  /** Resolves at the next `release` of the service, or after the time. */
  wait(serviceId: ServiceId, maxWaitMs: number): Promise<void> {
    return new Promise(resolve => {
      const waiters = this.waiters.get(serviceId) ?? new Set();
      this.waiters.set(serviceId, waiters);
      const release = () => {
        clearTimeout(timer);
        waiters.delete(release);
        resolve();
      };
      const timer = setTimeout(release, maxWaitMs);
      waiters.add(release);
    });
  }

  /** Services for which requests wait. */
  getAwaited(): ServiceId[] {
    return [...this.waiters.keys()];
  }

  /** Lets the requests go on that wait for a service. */
  release(serviceId: ServiceId): void {
    const waiters = this.waiters.get(serviceId);
    if (!waiters) return;
    this.waiters.delete(serviceId);
    for (const release of [...waiters]) release();
  }
}
