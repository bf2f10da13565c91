/**
 * Slots and queue of one target: bounds the numbers of running and queued
 * requests and refuses at once a request whose estimated queueing time exceeds
 * the time until its deadline.
 */

import type {Deadline} from './deadline.js';
import type {NotRunReason} from './outcome.js';

/** Concurrency and queue limits of a target. */
export interface SlotLimits {
  readonly slots: number;
  readonly queueLimit: number;
}

/** A request for a slot. */
export interface SlotRequest {
  readonly deadline: Deadline;
  /** Whether no other request may run at the same time. */
  readonly isExclusive: boolean;
}

/** A granted slot; further calls of `release` have no effect. */
export interface SlotGrant {
  readonly kind: 'granted';
  /** Returns the slot. */
  release(): void;
}

/** A refusal of admission. */
export interface SlotRefusal {
  readonly kind: 'refused';
  readonly reason: NotRunReason;
}

/** Result of requesting a slot. */
export type SlotDecision = SlotGrant | SlotRefusal;

interface Waiter {
  readonly request: SlotRequest;
  readonly settle: (decision: SlotDecision) => void;
}

/** Weight of the latest service time in the moving average. */
const SERVICE_TIME_EWMA_WEIGHT = 0.1;

/** FIFO queue in front of a target's slots. */
export class SlotQueue {
  private readonly waiters: Waiter[] = [];
  private runningCount = 0;
  private isExclusiveRunning = false;
  private closeReason: NotRunReason | undefined;
  private meanServiceTimeMs = 0;

  constructor(private limits: SlotLimits) {}

  getRunningCount(): number {
    return this.runningCount;
  }

  getWaitingCount(): number {
    return this.waiters.length;
  }

  /** Changes the limits; added slots are filled from the queue at once. */
  setLimits(limits: SlotLimits): void {
    this.limits = limits;
    this.admitWaiters();
  }

  /** Refuses all queued and all further requests. */
  close(reason: NotRunReason): void {
    this.closeReason = reason;
    for (const waiter of this.waiters.splice(0)) {
      waiter.settle({kind: 'refused', reason});
    }
  }

  /** Grants a slot, at once or after queueing, or refuses the request. */
  acquire(request: SlotRequest): Promise<SlotDecision> {
    const refusal = this.getRefusalReason(request);
    if (refusal) return Promise.resolve({kind: 'refused', reason: refusal});
    if (this.waiters.length === 0 && this.hasSlotFor(request)) {
      return Promise.resolve(this.grant(request));
    }
    return this.wait(request);
  }

  private getRefusalReason(request: SlotRequest): NotRunReason | undefined {
    if (this.closeReason !== undefined) return this.closeReason;
    const remainingMs = request.deadline.getRemainingMs();
    if (remainingMs <= 0) return getAbortRefusalReason(request.deadline);
    if (this.hasSlotFor(request) && this.waiters.length === 0) return undefined;
    if (this.waiters.length >= this.limits.queueLimit) return 'queue-full';
    return this.estimateWaitMs() > remainingMs ? 'deadline' : undefined;
  }

  private estimateWaitMs(): number {
    const rounds = (this.waiters.length + 1) / this.limits.slots;
    return rounds * this.meanServiceTimeMs;
  }

  private hasSlotFor(request: SlotRequest): boolean {
    if (this.isExclusiveRunning) return false;
    if (request.isExclusive) return this.runningCount === 0;
    return this.runningCount < this.limits.slots;
  }

  private grant(request: SlotRequest): SlotGrant {
    this.runningCount += 1;
    if (request.isExclusive) this.isExclusiveRunning = true;
    const startedAtMs = performance.now();
    let isReleased = false;
    const release = () => {
      if (isReleased) return;
      isReleased = true;
      this.runningCount -= 1;
      if (request.isExclusive) this.isExclusiveRunning = false;
      this.recordServiceTime(performance.now() - startedAtMs);
      this.admitWaiters();
    };
    return {kind: 'granted', release};
  }

  private recordServiceTime(serviceTimeMs: number): void {
    const weight = this.meanServiceTimeMs === 0 ? 1 : SERVICE_TIME_EWMA_WEIGHT;
    this.meanServiceTimeMs += (serviceTimeMs - this.meanServiceTimeMs) * weight;
  }

  private wait(request: SlotRequest): Promise<SlotDecision> {
    const {cancellation} = request.deadline;
    return new Promise(resolve => {
      const settle = (decision: SlotDecision) => {
        cancellation.off('abort', handleAbort);
        resolve(decision);
      };
      const waiter: Waiter = {request, settle};
      const handleAbort = () => {
        this.removeWaiter(waiter);
        const reason = getAbortRefusalReason(request.deadline);
        settle({kind: 'refused', reason});
      };
      cancellation.once('abort', handleAbort);
      this.waiters.push(waiter);
    });
  }

  private removeWaiter(waiter: Waiter): void {
    const index = this.waiters.indexOf(waiter);
    if (index >= 0) this.waiters.splice(index, 1);
    this.admitWaiters();
  }

  private admitWaiters(): void {
    for (;;) {
      const [first] = this.waiters;
      if (!first || !this.hasSlotFor(first.request)) return;
      this.waiters.shift();
      first.settle(this.grant(first.request));
    }
  }
}

function getAbortRefusalReason(deadline: Deadline): NotRunReason {
  return deadline.getAbortReason() === 'cancelled' ? 'cancelled' : 'deadline';
}
