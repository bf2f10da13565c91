/** An announced target with its admission queue and connection pool. */

import type {ServiceId} from '@cassiaknot/inventory';
import type {NotRunReason} from './outcome.js';
import {SlotQueue} from './slot_queue.js';
import type {ProxyTargetClient} from './target_client.js';

/** Properties that a target announces. */
export interface TargetAnnouncement {
  readonly serviceId: ServiceId;
  /** `host:port` on which the target listens. */
  readonly address: string;
  /** Number of requests that the target runs concurrently. */
  readonly slots: number;
  /** Maximum number of connections to the target. */
  readonly connections: number;
  /** Slow start: time over which a new target's slots open gradually. */
  readonly warmUpMs: number;
}

const WARM_UP_STEP_MS = 100;

/** Holds a target's queue and client; opens the slots gradually at first. */
export class ProxyTargetSession {
  readonly queue: SlotQueue;
  private readonly startedAtMs = performance.now();
  private warmUpTimer: NodeJS.Timeout | undefined;
  private closeReason: NotRunReason | undefined;

  constructor(
    readonly announcement: TargetAnnouncement,
    readonly client: ProxyTargetClient,
    private queueLimit: number,
  ) {
    this.queue = new SlotQueue(this.getLimits());
    if (announcement.warmUpMs > 0) this.startWarmUp();
  }

  /** Whether the session accepts requests. */
  isOpen(): boolean {
    return this.closeReason === undefined;
  }

  /** Changes the number of requests that may be queued. */
  setQueueLimit(queueLimit: number): void {
    if (queueLimit === this.queueLimit) return;
    this.queueLimit = queueLimit;
    this.queue.setLimits(this.getLimits());
  }

  /** Refuses queued and further requests; running requests continue. */
  close(reason: NotRunReason): void {
    if (!this.isOpen()) return;
    this.closeReason = reason;
    clearInterval(this.warmUpTimer);
    this.queue.close(reason);
  }

  private startWarmUp(): void {
    const {warmUpMs} = this.announcement;
    this.warmUpTimer = setInterval(() => {
      this.queue.setLimits(this.getLimits());
      if (performance.now() - this.startedAtMs < warmUpMs) return;
      clearInterval(this.warmUpTimer);
    }, WARM_UP_STEP_MS);
  }

  private getLimits(): {slots: number; queueLimit: number} {
    const {slots, warmUpMs} = this.announcement;
    const elapsedMs = performance.now() - this.startedAtMs;
    const openFraction = warmUpMs > 0 ? Math.min(1, elapsedMs / warmUpMs) : 1;
    const openSlots = Math.max(1, Math.floor(slots * openFraction));
    return {slots: openSlots, queueLimit: this.queueLimit};
  }
}
