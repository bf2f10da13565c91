/**
 * Concurrency limit and admission queue of one target. A job that can't finish
 * before its deadline is refused at once. Jobs are served by urgency; within one
 * urgency, those that can still meet their latency objective come first, so that
 * an overload delays some requests rather than all; among these, the shortest
 * runs first, so that short calls do not wait behind long requests. While there
 * is a standing queue, jobs that would miss their objective are shed, so that
 * their slots serve others in time. A target can also limit the rate of starts.
 */

import {
  MIN_RUN_TIME_SHARE,
  MIN_STARTS_PER_SECOND,
  RUN_SPREAD_FACTOR,
  SHORT_RUN_SHARE,
  STANDING_QUEUE_MS,
} from './constants.js';
import {StartPacer} from './start_pacer.js';

/** Why a job was not started. */
export type JobRefusalReason = 'overloaded' | 'deadline' | 'closed';

/** Determines the position of a job in the queue. */
export interface JobPriority {
  /** Priority under load; 0 is served first. */
  readonly urgency: number;
  /** Expected run time at this target. */
  readonly expectedRunMs: number;
  /** Latest time at which a response meets the latency objective. */
  readonly objectiveAtMs: number;
  /** Time at which the caller stops waiting. */
  readonly deadlineAtMs: number;
  /** Whether its caller is in another data centre; those of the own come first. */
  readonly isFromElsewhere?: boolean | undefined;
}

/** A request for a slot. */
export interface Job extends JobPriority {
  /** Group that shares the slots fairly with others; undefined for its own group. */
  readonly workspaceId?: string | undefined;
  /** Longest wait that the sender accepts at this target. */
  readonly maxWaitMs: number;
  /** Called once when the job gets a slot. */
  readonly start: () => void;
  /** Called once if the job is refused while queued. */
  readonly refuse: (reason: JobRefusalReason) => void;
}

/** Result of offering a job. */
export type OfferResult =
  | {readonly kind: 'started' | 'queued'}
  | {readonly kind: 'refused'; readonly reason: JobRefusalReason};

/** Load of a target as reported to senders. */
export interface SchedulerLoad {
  readonly slots: number;
  readonly running: number;
  readonly waiting: number;
}

/** Assigns slots to jobs. */
export class SlotScheduler {
  private readonly running = new Set<Job>();
  /** Queued jobs in order of arrival. */
  private waiting: Job[] = [];
  /** Time since which the queue has not been empty. */
  private queuedSinceMs: number | undefined;
  private isClosed = false;
  /** Set while the target limits its rate. */
  private pacer: StartPacer | undefined;

  constructor(private slots: number) {}

  /** Starts, queues or refuses a job. */
  offer(job: Job, nowMs: number): OfferResult {
    if (this.isClosed) return {kind: 'refused', reason: 'closed'};
    if (this.mayStart(nowMs) && this.waiting.length === 0) {
      if (willLikelyExceedDeadline(job, nowMs)) {
        return {kind: 'refused', reason: 'deadline'};
      }
      this.start(job, nowMs);
      return {kind: 'started'};
    }
    const waitMs = this.estimateWaitMs(job, nowMs);
    const startMs = nowMs + waitMs;
    const isServable =
      waitMs <= job.maxWaitMs &&
      startMs + job.expectedRunMs <= job.deadlineAtMs;
    const isLateInStandingQueue =
      this.hasStandingQueue(nowMs) && !this.meetsObjective(job, startMs);
    if (!isServable || isLateInStandingQueue) {
      return {kind: 'refused', reason: 'overloaded'};
    }
    this.waiting.push(job);
    this.queuedSinceMs ??= nowMs;
    return {kind: 'queued'};
  }

  /** Releases the slot of a finished job to the next in the queue. */
  finish(job: Job, nowMs: number): void {
    if (this.running.delete(job)) this.startNext(nowMs);
  }

  /** Removes a job from the queue; `false` if it is not queued. */
  cancel(job: Job): boolean {
    const before = this.waiting.length;
    this.setWaiting(this.waiting.filter(other => other !== job));
    return this.waiting.length < before;
  }

  /**
   * Sheds the queued jobs that can no longer be served in time, and starts those
   * that the rate of the target now allows.
   */
  sweep(nowMs: number): void {
    let aheadMs = this.getMeanExpectedRunMs() / this.slots;
    let aheadCount = 0;
    const shed = new Set<Job>();
    for (const job of this.getQueueOrder(nowMs)) {
      const pacedMs = this.pacer?.estimateWaitMs(aheadCount, nowMs) ?? 0;
      if (this.shouldShed(job, Math.max(aheadMs, pacedMs), nowMs)) {
        shed.add(job);
        continue;
      }
      aheadMs += job.expectedRunMs / this.slots;
      aheadCount += 1;
    }
    if (shed.size > 0) {
      this.setWaiting(this.waiting.filter(job => !shed.has(job)));
      for (const job of shed) job.refuse('overloaded');
    }
    if (this.pacer) this.startNext(nowMs);
  }

  /**
   * Limits the rate of starts; `undefined` lifts the limit. Returns whether the
   * limit has changed.
   */
  setStartsPerSecond(limit: number | undefined, nowMs: number): boolean {
    const startsPerSecond =
      limit === undefined ? undefined : Math.max(limit, MIN_STARTS_PER_SECOND);
    if (startsPerSecond === this.pacer?.startsPerSecond) return false;
    if (startsPerSecond === undefined) this.pacer = undefined;
    else {
      this.pacer =
        this.pacer?.withRate(startsPerSecond, nowMs) ??
        new StartPacer(startsPerSecond, nowMs);
    }
    this.startNext(nowMs);
    return true;
  }

  /** Changes the number of slots. */
  setSlots(slots: number, nowMs: number): void {
    this.slots = slots;
    this.startNext(nowMs);
  }

  /** Stops accepting jobs and refuses all queued ones. */
  close(): void {
    this.isClosed = true;
    this.refuseWaiting();
  }

  /** Refuses all queued jobs. */
  refuseWaiting(): void {
    const {waiting} = this;
    this.setWaiting([]);
    for (const job of waiting) job.refuse('closed');
  }

  /** Estimates the wait of a job that arrives now. */
  estimateWaitMs(job: JobPriority, nowMs: number): number {
    if (this.mayStart(nowMs) && this.waiting.length === 0) return 0;
    let aheadMs = this.getMeanExpectedRunMs();
    let aheadCount = 0;
    for (const other of this.waiting) {
      if (this.compare(other, job, nowMs) > 0) continue;
      aheadMs += other.expectedRunMs;
      aheadCount += 1;
    }
    const pacedMs = this.pacer?.estimateWaitMs(aheadCount, nowMs) ?? 0;
    const hasFreeSlot = this.running.size + aheadCount < this.slots;
    return Math.max(hasFreeSlot ? 0 : aheadMs / this.slots, pacedMs);
  }

  /** Whether the queue has lasted too long to be a short burst. */
  hasStandingQueue(nowMs: number): boolean {
    if (this.queuedSinceMs === undefined) return false;
    return nowMs - this.queuedSinceMs >= STANDING_QUEUE_MS;
  }

  /** Returns the current load. */
  getLoad(): SchedulerLoad {
    const {slots} = this;
    const running = this.running.size;
    return {slots, running, waiting: this.waiting.length};
  }

  private startNext(nowMs: number): void {
    while (this.mayStart(nowMs)) {
      const [job] = this.getQueueOrder(nowMs);
      if (!job) return;
      this.cancel(job);
      if (willLikelyExceedDeadline(job, nowMs)) job.refuse('deadline');
      else this.start(job, nowMs);
    }
  }

  private mayStart(nowMs: number): boolean {
    if (this.running.size >= this.slots) return false;
    return this.pacer?.mayStart(nowMs) ?? true;
  }

  private start(job: Job, nowMs: number): void {
    this.running.add(job);
    this.pacer?.recordStart(nowMs);
    job.start();
  }

  // In a standing queue, a late job is always overtaken by others. Shedding it
  // early leaves the sender time to try another target.
  private shouldShed(job: Job, aheadMs: number, nowMs: number): boolean {
    if (nowMs + aheadMs + job.expectedRunMs > job.deadlineAtMs) return true;
    return this.hasStandingQueue(nowMs) && !this.meetsObjective(job, nowMs);
  }

  private setWaiting(waiting: Job[]): void {
    this.waiting = waiting;
    if (waiting.length === 0) this.queuedSinceMs = undefined;
  }

  // The sort is stable, so that jobs of equal priority stay in order of arrival.
  private getQueueOrder(nowMs: number): Job[] {
    return [...this.waiting].sort((left, right) =>
      this.compare(left, right, nowMs),
    );
  }

  /** Negative if `left` is served first, 0 if the priorities are equal. */
  private compare(
    left: JobPriority,
    right: JobPriority,
    nowMs: number,
  ): number {
    if (left.urgency !== right.urgency) return left.urgency - right.urgency;
    const isLeftInTime = this.meetsObjective(left, nowMs);
    const isRightInTime = this.meetsObjective(right, nowMs);
    if (isLeftInTime !== isRightInTime) return isLeftInTime ? -1 : 1;
    const isLeftFromElsewhere = left.isFromElsewhere === true;
    if (isLeftFromElsewhere !== (right.isFromElsewhere === true)) {
      return isLeftFromElsewhere ? 1 : -1;
    }
    return isLeftInTime ? left.expectedRunMs - right.expectedRunMs : 0;
  }

  // A job much shorter than the running ones is usually a nested call of a
  // request that runs at another target. Refusing it frees little capacity and
  // wastes the run of that request, so only its deadline counts.
  private meetsObjective(job: JobPriority, startMs: number): boolean {
    const isShort =
      job.expectedRunMs < SHORT_RUN_SHARE * this.getMeanExpectedRunMs();
    if (isShort) return startMs + job.expectedRunMs <= job.deadlineAtMs;
    return startMs + RUN_SPREAD_FACTOR * job.expectedRunMs <= job.objectiveAtMs;
  }

  private getMeanExpectedRunMs(): number {
    if (this.running.size === 0) return 0;
    let sumMs = 0;
    for (const job of this.running) sumMs += job.expectedRunMs;
    return sumMs / this.running.size;
  }
}

// A run that would probably be cut off by its deadline only wastes a slot.
function willLikelyExceedDeadline(job: Job, nowMs: number): boolean {
  return nowMs + MIN_RUN_TIME_SHARE * job.expectedRunMs >= job.deadlineAtMs;
}
