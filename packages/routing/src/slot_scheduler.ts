/**
 * Slots and queue of one target. Whoever can't be served in time is refused at
 * once; the more urgent is served first, and of equals the one that came first.
 */

/** Why a job was not started. */
export type RefusalReason = 'overloaded' | 'deadline' | 'closed';

/** A request that wants a slot. */
export interface Job {
  /** Rank under load; 0 is served first. */
  readonly urgency: number;
  /** Expected run time on this target. */
  readonly workMs: number;
  /** Time at which the caller stops waiting. */
  readonly deadlineAtMs: number;
  /** Longest wait that the sender accepts here. */
  readonly maxWaitMs: number;
  /** Called once if the job gets a slot. */
  readonly start: () => void;
  /** Called once if a waiting job is refused. */
  readonly refuse: (reason: RefusalReason) => void;
}

/** What became of an offered job. */
export type OfferResult =
  | {readonly kind: 'started' | 'queued'}
  | {readonly kind: 'refused'; readonly reason: RefusalReason};

/** Load of a target as told to senders. */
export interface SchedulerLoad {
  readonly slots: number;
  readonly running: number;
  readonly waiting: number;
}

interface Waiting {
  readonly job: Job;
  readonly order: number;
}

/** Grants slots. */
export class SlotScheduler {
  private readonly running = new Map<Job, number>();
  private waiting: Waiting[] = [];
  private orderCount = 0;
  private isClosed = false;

  constructor(private slots: number) {}

  /** Starts, queues or refuses a job. */
  offer(job: Job, nowMs: number): OfferResult {
    if (this.isClosed) return {kind: 'refused', reason: 'closed'};
    if (this.running.size < this.slots && this.waiting.length === 0) {
      if (job.deadlineAtMs <= nowMs) {
        return {kind: 'refused', reason: 'deadline'};
      }
      this.start(job, nowMs);
      return {kind: 'started'};
    }
    const waitMs = this.estimateWaitMs(job.urgency);
    const isInTime = nowMs + waitMs + job.workMs <= job.deadlineAtMs;
    if (waitMs > job.maxWaitMs || !isInTime) {
      return {kind: 'refused', reason: 'overloaded'};
    }
    this.orderCount += 1;
    this.insert({job, order: this.orderCount});
    return {kind: 'queued'};
  }

  /** Gives a finished job's slot to the next. */
  finish(job: Job, nowMs: number): void {
    if (this.running.delete(job)) this.startNext(nowMs);
  }

  /** Takes a job out of the queue; `false` if it is not waiting. */
  cancel(job: Job): boolean {
    const before = this.waiting.length;
    this.waiting = this.waiting.filter(entry => entry.job !== job);
    return this.waiting.length < before;
  }

  /** Refuses the waiting jobs that can't be served in time any more. */
  sweep(nowMs: number): void {
    let aheadMs = this.getMeanRunningWorkMs() / this.slots;
    const kept: Waiting[] = [];
    const late: Job[] = [];
    for (const entry of this.waiting) {
      const {job} = entry;
      if (nowMs + aheadMs + job.workMs > job.deadlineAtMs) {
        late.push(job);
        continue;
      }
      aheadMs += job.workMs / this.slots;
      kept.push(entry);
    }
    if (late.length === 0) return;
    this.waiting = kept;
    for (const job of late) job.refuse('overloaded');
  }

  /** Changes the number of slots. */
  setSlots(slots: number, nowMs: number): void {
    this.slots = slots;
    this.startNext(nowMs);
  }

  /** Takes no more jobs and refuses all that wait. */
  close(): void {
    this.isClosed = true;
    this.refuseWaiting();
  }

  /** Refuses all that wait. */
  refuseWaiting(): void {
    const {waiting} = this;
    this.waiting = [];
    for (const {job} of waiting) job.refuse('closed');
  }

  /** Expected wait of a job of this urgency that came now. */
  estimateWaitMs(urgency: number): number {
    if (this.running.size < this.slots && this.waiting.length === 0) return 0;
    let aheadMs = this.getMeanRunningWorkMs();
    for (const {job} of this.waiting) {
      if (job.urgency <= urgency) aheadMs += job.workMs;
    }
    return aheadMs / this.slots;
  }

  /** Load for reports. */
  getLoad(): SchedulerLoad {
    const {slots} = this;
    const running = this.running.size;
    return {slots, running, waiting: this.waiting.length};
  }

  private startNext(nowMs: number): void {
    while (this.running.size < this.slots) {
      const entry = this.waiting.shift();
      if (!entry) return;
      const {job} = entry;
      if (nowMs >= job.deadlineAtMs) job.refuse('deadline');
      else this.start(job, nowMs);
    }
  }

  private start(job: Job, nowMs: number): void {
    this.running.set(job, nowMs);
    job.start();
  }

  private insert(entry: Waiting): void {
    const index = this.waiting.findIndex(
      other => other.job.urgency > entry.job.urgency,
    );
    if (index < 0) this.waiting.push(entry);
    else this.waiting.splice(index, 0, entry);
  }

  private getMeanRunningWorkMs(): number {
    if (this.running.size === 0) return 0;
    let sumMs = 0;
    for (const job of this.running.keys()) sumMs += job.workMs;
    return sumMs / this.running.size;
  }
}
