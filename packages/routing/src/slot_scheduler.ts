/**
 * Slots and queue of one target. Whoever can't be served before its deadline is
 * refused at once. The more urgent is served first; of equals the one that can
 * still meet its latency objective, so that an overload makes some requests
 * late instead of all; of these the one with the shortest run, so that a short
 * call does not wait behind long requests. While a backlog persists, a request
 * that would be late is refused: its slot serves another in time.
 */

import {
  MIN_WORK_SHARE,
  SHORT_RUN_SHARE,
  STANDING_BACKLOG_MS,
  WORK_SPREAD_FACTOR,
} from './constants.js';

/** Why a job was not started. */
export type RefusalReason = 'overloaded' | 'deadline' | 'closed';

/** What decides the place of a request in the queue. */
export interface JobRank {
  /** Rank under load; 0 is served first. */
  readonly urgency: number;
  /** Expected run time on this target. */
  readonly workMs: number;
  /** Time until which an answer meets the latency objective. */
  readonly objectiveAtMs: number;
  /** Time at which the caller stops waiting. */
  readonly deadlineAtMs: number;
}

/** A request that wants a slot. */
export interface Job extends JobRank {
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

/** Grants slots. */
export class SlotScheduler {
  private readonly running = new Set<Job>();
  /** In the order of arrival. */
  private waiting: Job[] = [];
  /** Since when jobs have been waiting all the while. */
  private backlogSinceMs: number | undefined;
  private isClosed = false;

  constructor(private slots: number) {}

  /** Starts, queues or refuses a job. */
  offer(job: Job, nowMs: number): OfferResult {
    if (this.isClosed) return {kind: 'refused', reason: 'closed'};
    if (this.running.size < this.slots && this.waiting.length === 0) {
      if (isHopeless(job, nowMs)) {
        return {kind: 'refused', reason: 'deadline'};
      }
      this.start(job);
      return {kind: 'started'};
    }
    const waitMs = this.estimateWaitMs(job, nowMs);
    const startMs = nowMs + waitMs;
    const isServable =
      waitMs <= job.maxWaitMs && startMs + job.workMs <= job.deadlineAtMs;
    const isTooLate =
      this.hasStandingBacklog(nowMs) && !this.isTimely(job, startMs);
    if (!isServable || isTooLate) {
      return {kind: 'refused', reason: 'overloaded'};
    }
    this.waiting.push(job);
    this.backlogSinceMs ??= nowMs;
    return {kind: 'queued'};
  }

  /** Gives a finished job's slot to the next. */
  finish(job: Job, nowMs: number): void {
    if (this.running.delete(job)) this.startNext(nowMs);
  }

  /** Takes a job out of the queue; `false` if it is not waiting. */
  cancel(job: Job): boolean {
    const before = this.waiting.length;
    this.setWaiting(this.waiting.filter(other => other !== job));
    return this.waiting.length < before;
  }

  /** Refuses the waiting jobs that will not be served any more. */
  sweep(nowMs: number): void {
    let aheadMs = this.getMeanRunningWorkMs() / this.slots;
    const hopeless = new Set<Job>();
    for (const job of this.getServingOrder(nowMs)) {
      if (this.isHopelessInQueue(job, aheadMs, nowMs)) hopeless.add(job);
      else aheadMs += job.workMs / this.slots;
    }
    if (hopeless.size === 0) return;
    this.setWaiting(this.waiting.filter(job => !hopeless.has(job)));
    for (const job of hopeless) job.refuse('overloaded');
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
    this.setWaiting([]);
    for (const job of waiting) job.refuse('closed');
  }

  /** Expected wait of a job that came now. */
  estimateWaitMs(job: JobRank, nowMs: number): number {
    if (this.running.size < this.slots && this.waiting.length === 0) return 0;
    let aheadMs = this.getMeanRunningWorkMs();
    for (const other of this.waiting) {
      if (this.compareRanks(other, job, nowMs) <= 0) aheadMs += other.workMs;
    }
    return aheadMs / this.slots;
  }

  /** Whether jobs have been waiting for so long that this is no short burst. */
  hasStandingBacklog(nowMs: number): boolean {
    if (this.backlogSinceMs === undefined) return false;
    return nowMs - this.backlogSinceMs >= STANDING_BACKLOG_MS;
  }

  /** Load for reports. */
  getLoad(): SchedulerLoad {
    const {slots} = this;
    const running = this.running.size;
    return {slots, running, waiting: this.waiting.length};
  }

  private startNext(nowMs: number): void {
    while (this.running.size < this.slots) {
      const [job] = this.getServingOrder(nowMs);
      if (!job) return;
      this.cancel(job);
      if (isHopeless(job, nowMs)) job.refuse('deadline');
      else this.start(job);
    }
  }

  private start(job: Job): void {
    this.running.add(job);
    job.start();
  }

  // In a standing backlog there is always another that is served before a late
  // one, which learns of it while it can still go elsewhere.
  private isHopelessInQueue(job: Job, aheadMs: number, nowMs: number): boolean {
    if (nowMs + aheadMs + job.workMs > job.deadlineAtMs) return true;
    return this.hasStandingBacklog(nowMs) && !this.isTimely(job, nowMs);
  }

  private setWaiting(waiting: Job[]): void {
    this.waiting = waiting;
    if (waiting.length === 0) this.backlogSinceMs = undefined;
  }

  // The sort is stable, so that equals stay in the order of arrival.
  private getServingOrder(nowMs: number): Job[] {
    return [...this.waiting].sort((left, right) =>
      this.compareRanks(left, right, nowMs),
    );
  }

  /** Negative where `left` is served first, 0 for equals. */
  private compareRanks(left: JobRank, right: JobRank, nowMs: number): number {
    if (left.urgency !== right.urgency) return left.urgency - right.urgency;
    const isLeftTimely = this.isTimely(left, nowMs);
    const isRightTimely = this.isTimely(right, nowMs);
    if (isLeftTimely !== isRightTimely) return isLeftTimely ? -1 : 1;
    return isLeftTimely ? left.workMs - right.workMs : 0;
  }

  // A run that is short beside the others here is mostly a call of a request
  // that runs elsewhere. Refusing it frees little and wastes that request's run,
  // so it has until its deadline.
  private isTimely(job: JobRank, startMs: number): boolean {
    const isShort = job.workMs < SHORT_RUN_SHARE * this.getMeanRunningWorkMs();
    if (isShort) return startMs + job.workMs <= job.deadlineAtMs;
    return startMs + WORK_SPREAD_FACTOR * job.workMs <= job.objectiveAtMs;
  }

  private getMeanRunningWorkMs(): number {
    if (this.running.size === 0) return 0;
    let sumMs = 0;
    for (const job of this.running) sumMs += job.workMs;
    return sumMs / this.running.size;
  }
}

// A run that would most likely be cut by its deadline only takes a slot.
function isHopeless(job: Job, nowMs: number): boolean {
  return nowMs + MIN_WORK_SHARE * job.workMs >= job.deadlineAtMs;
}
