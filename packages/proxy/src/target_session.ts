/** One announced target with its queue and its connections. */

import type {ServiceId} from '@cassiaknot/inventory';
import type {NotRunReason} from './outcome.js';
import {SlotQueue} from './slot_queue.js';
import type {TargetClient} from './target_client.js';

/** What a target says of itself. */
export interface TargetAnnouncement {
  readonly serviceId: ServiceId;
  /** `host:port` where the target takes requests. */
  readonly address: string;
  /** Requests that the target runs at once. */
  readonly slots: number;
  /** Connections that the target takes. */
  readonly connections: number;
  /** Time over which a fresh target's slots are opened one by one. */
  readonly warmUpMs: number;
}

const WARM_UP_STEP_MS = 100;

/** Holds the exact number of requests at one target. */
export class TargetSession {
  readonly queue: SlotQueue;
  private readonly startedAtMs = performance.now();
  private warmUpTimer: NodeJS.Timeout | undefined;
  private closedReason: NotRunReason | undefined;

  constructor(
    readonly announcement: TargetAnnouncement,
    readonly client: TargetClient,
    private queueLimit: number,
  ) {
    this.queue = new SlotQueue(this.getLimits());
    if (announcement.warmUpMs > 0) this.startWarmUp();
  }

  /** Whether the session takes requests. */
  isOpen(): boolean {
    return this.closedReason === undefined;
  }

  /** Changes the number of requests that may wait. */
  setQueueLimit(queueLimit: number): void {
    if (queueLimit === this.queueLimit) return;
    this.queueLimit = queueLimit;
    this.queue.setLimits(this.getLimits());
  }

  /** Refuses what waits and what comes; running requests go on. */
  close(reason: NotRunReason): void {
    if (!this.isOpen()) return;
    this.closedReason = reason;
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
    const share = warmUpMs > 0 ? Math.min(1, elapsedMs / warmUpMs) : 1;
    const openSlots = Math.max(1, Math.floor(slots * share));
    return {slots: openSlots, queueLimit: this.queueLimit};
  }
}
