/**
 * Admits requests to one target: a bounded number run, a bounded number wait,
 * and one that can't be served before its deadline is refused at once.
 */

import type {Deadline} from './deadline.js';
import type {NotRunReason} from './outcome.js';

/** Room at a target. */
export interface SlotLimits {
  readonly slots: number;
  readonly queueLimit: number;
}

/** How a request wants to run. */
export interface SlotRequest {
  readonly deadline: Deadline;
  /** Whether nothing else may run beside it. */
  readonly alone: boolean;
}

/** The right to run, to be given back once. */
export interface SlotGrant {
  readonly kind: 'granted';
  /** Ends the run. */
  release(): void;
}

/** The request may not run here. */
export interface SlotRefusal {
  readonly kind: 'refused';
  readonly reason: NotRunReason;
}

/** Whether a request may run. */
export type SlotDecision = SlotGrant | SlotRefusal;

interface Waiter {
  readonly request: SlotRequest;
  readonly settle: (decision: SlotDecision) => void;
}

const SERVICE_TIME_WEIGHT = 0.1;

/** First-come first-served queue in front of a target's slots. */
export class SlotQueue {
  private readonly waiters: Waiter[] = [];
  private runningCount = 0;
  private isAloneRunning = false;
  private closedReason: NotRunReason | undefined;
  private meanRunMs = 0;

  constructor(private limits: SlotLimits) {}

  /** Requests that run now. */
  getRunningCount(): number {
    return this.runningCount;
  }

  /** Requests that wait now. */
  getWaitingCount(): number {
    return this.waiters.length;
  }

  /** Changes the room; more slots are filled from the queue at once. */
  setLimits(limits: SlotLimits): void {
    this.limits = limits;
    this.admitWaiters();
  }

  /** Refuses all that wait and all that come. */
  close(reason: NotRunReason): void {
    this.closedReason = reason;
    for (const waiter of this.waiters.splice(0)) {
      waiter.settle({kind: 'refused', reason});
    }
  }

  /** Waits for the right to run. */
  acquire(request: SlotRequest): Promise<SlotDecision> {
    const refusal = this.findRefusal(request);
    if (refusal) return Promise.resolve({kind: 'refused', reason: refusal});
    if (this.waiters.length === 0 && this.hasRoomFor(request)) {
      return Promise.resolve(this.grant(request));
    }
    return this.wait(request);
  }

  private findRefusal(request: SlotRequest): NotRunReason | undefined {
    if (this.closedReason !== undefined) return this.closedReason;
    const remainingMs = request.deadline.getRemainingMs();
    if (remainingMs <= 0) return getAbortRefusal(request.deadline);
    if (this.hasRoomFor(request) && this.waiters.length === 0) return undefined;
    if (this.waiters.length >= this.limits.queueLimit) return 'queue-full';
    return this.estimateWaitMs() > remainingMs ? 'deadline' : undefined;
  }

  private estimateWaitMs(): number {
    const rounds = (this.waiters.length + 1) / this.limits.slots;
    return rounds * this.meanRunMs;
  }

  private hasRoomFor(request: SlotRequest): boolean {
    if (this.isAloneRunning) return false;
    if (request.alone) return this.runningCount === 0;
    return this.runningCount < this.limits.slots;
  }

  private grant(request: SlotRequest): SlotGrant {
    this.runningCount += 1;
    if (request.alone) this.isAloneRunning = true;
    const startedAtMs = performance.now();
    let isReleased = false;
    const release = () => {
      if (isReleased) return;
      isReleased = true;
      this.runningCount -= 1;
      if (request.alone) this.isAloneRunning = false;
      this.recordRun(performance.now() - startedAtMs);
      this.admitWaiters();
    };
    return {kind: 'granted', release};
  }

  private recordRun(runMs: number): void {
    const weight = this.meanRunMs === 0 ? 1 : SERVICE_TIME_WEIGHT;
    this.meanRunMs += (runMs - this.meanRunMs) * weight;
  }

  private wait(request: SlotRequest): Promise<SlotDecision> {
    const {cancellation} = request.deadline;
    return new Promise(resolve => {
      const settle = (decision: SlotDecision) => {
        cancellation.off('abort', leave);
        resolve(decision);
      };
      const waiter: Waiter = {request, settle};
      const leave = () => {
        this.removeWaiter(waiter);
        const reason = getAbortRefusal(request.deadline);
        settle({kind: 'refused', reason});
      };
      cancellation.once('abort', leave);
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
      if (!first || !this.hasRoomFor(first.request)) return;
      this.waiters.shift();
      first.settle(this.grant(first.request));
    }
  }
}

function getAbortRefusal(deadline: Deadline): NotRunReason {
  return deadline.getAbortReason() === 'cancelled' ? 'cancelled' : 'deadline';
}
