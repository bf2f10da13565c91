/**
 * Concurrency limit and admission queue of one target. A job that can't finish
 * before its deadline is refused at once. Jobs are served by urgency; within one
 * urgency, those that can still meet their latency objective come first, so that
 * an overload delays some requests rather than all; among these, the shortest
 * runs first, so that short calls do not wait behind long requests. While there
 * is a standing queue, jobs that would miss their objective are shed, so that
 * their slots serve others in time, and jobs of workspaces above their fair share
 * rank behind others. A target can also limit the rate of starts.
 */

import {
  MIN_RUN_TIME_SHARE,
  MIN_STARTS_PER_SECOND,
  RUN_SPREAD_FACTOR,
  SHORT_RUN_SHARE,
  STANDING_QUEUE_MS,
} from './constants.js';
import type {
  Job,
  JobPriority,
  JobRefusalReason,
  OfferResult,
  SchedulerLoad,
} from './job.js';
import {KindService} from './kind_service.js';
import type {QueuePlace} from './queue_order.js';
import {comparePlaces} from './queue_order.js';
import type {OrderedJob} from './share_order.js';
import {orderByShares, toRefusalReason} from './share_order.js';
import {StartPacer} from './start_pacer.js';
import type {WorkspaceShare} from './workspace_shares.js';
import {WorkspaceShares} from './workspace_shares.js';

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
  private readonly shares = new WorkspaceShares();
  private readonly kinds = new KindService();
  /** Whether a job of a workspace was offered; shares cost time on each job. */
  private hasWorkspaces = false;
  /** Sum of the expected run times of the running jobs. */
  private runningExpectedMs = 0;

  constructor(private slots: number) {}

  /** Starts, queues or refuses a job. */
  offer(job: Job, nowMs: number): OfferResult {
    if (this.isClosed) return {kind: 'refused', reason: 'closed'};
    this.hasWorkspaces ||= job.workspaceId !== undefined;
    if (this.hasWorkspaces) {
      this.shares.recordOffer(job, nowMs);
      this.kinds.recordOffer(job, nowMs);
    }
    if (this.mayStart(nowMs) && this.waiting.length === 0) {
      if (willLikelyExceedDeadline(job, nowMs)) {
        return {kind: 'refused', reason: 'deadline'};
      }
      this.start(job, nowMs);
      return {kind: 'started'};
    }
    const {waitMs, reason} = this.findPlace(job, nowMs);
    const startMs = nowMs + waitMs;
    const isServable =
      waitMs <= job.maxWaitMs &&
      startMs + job.expectedRunMs <= job.deadlineAtMs;
    const isLateInStandingQueue =
      this.hasStandingQueue(nowMs) && !this.meetsObjective(job, startMs);
    if (!isServable || isLateInStandingQueue) {
      return {kind: 'refused', reason};
    }
    this.waiting.push(job);
    this.queuedSinceMs ??= nowMs;
    return {kind: 'queued'};
  }

  /** Releases the slot of a finished job to the next in the queue. */
  finish(job: Job, nowMs: number): void {
    if (!this.running.delete(job)) return;
    // The sum starts anew from exactly 0, so that rounding errors don't add up.
    this.runningExpectedMs =
      this.running.size === 0 ? 0 : this.runningExpectedMs - job.expectedRunMs;
    this.shares.recordFinish(job, nowMs);
    this.startNext(nowMs);
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
    const shed = new Map<Job, JobRefusalReason>();
    for (const ordered of this.orderQueue(this.waiting, nowMs)) {
      const {job} = ordered;
      const pacedMs = this.pacer?.estimateWaitMs(aheadCount, nowMs) ?? 0;
      if (this.shouldShed(job, Math.max(aheadMs, pacedMs), nowMs)) {
        shed.set(job, toRefusalReason(ordered));
        continue;
      }
      aheadMs += job.expectedRunMs / this.slots;
      aheadCount += 1;
    }
    if (shed.size > 0) {
      this.setWaiting(this.waiting.filter(job => !shed.has(job)));
      for (const [job, reason] of shed) job.refuse(reason);
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
    return this.findPlace(job, nowMs).waitMs;
  }

  /** Returns the fair share of a workspace; undefined if it is not known here. */
  getShare(workspaceId: string, nowMs: number): WorkspaceShare | undefined {
    return this.shares.getShare(workspaceId, nowMs);
  }

  /** Counts the workspaces above their fair share; 0 without a standing queue. */
  countOverShare(nowMs: number): number {
    return this.hasStandingQueue(nowMs) ? this.shares.countOverShare(nowMs) : 0;
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
      const [first] = this.orderQueue(this.waiting, nowMs);
      if (!first) return;
      const {job} = first;
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
    this.runningExpectedMs += job.expectedRunMs;
    if (this.hasWorkspaces) {
      this.shares.recordStart(job, nowMs);
      this.kinds.recordStart(job, nowMs);
    }
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

  // Wait of a job that arrives now, and the reason if that wait is too long.
  private findPlace(
    job: JobPriority,
    nowMs: number,
  ): {readonly waitMs: number; readonly reason: JobRefusalReason} {
    const isEmpty = this.waiting.length === 0;
    if (this.mayStart(nowMs) && isEmpty) {
      return {waitMs: 0, reason: 'overloaded'};
    }
    const jobs = this.hasWorkspaces ? [...this.waiting, job] : this.waiting;
    if (!this.sharesSlots(jobs, nowMs)) {
      const place = this.toPlace(job, nowMs);
      const ahead = this.waiting.filter(other => {
        if (other.urgency !== job.urgency) return other.urgency < job.urgency;
        return comparePlaces(this.toPlace(other, nowMs), place) <= 0;
      });
      const waitMs = this.estimateWaitBehindMs(ahead, nowMs);
      return {waitMs, reason: 'overloaded'};
    }
    const ordered = this.orderQueue(jobs, nowMs);
    const index = ordered.findIndex(other => other.job === job);
    const ahead = ordered.slice(0, index).map(other => other.job);
    return {
      waitMs: this.estimateWaitBehindMs(ahead, nowMs),
      reason: toRefusalReason(ordered[index]),
    };
  }

  private estimateWaitBehindMs(
    ahead: readonly JobPriority[],
    nowMs: number,
  ): number {
    let aheadMs = this.getMeanExpectedRunMs();
    for (const {expectedRunMs} of ahead) aheadMs += expectedRunMs;
    const pacedMs = this.pacer?.estimateWaitMs(ahead.length, nowMs) ?? 0;
    const hasFreeSlot = this.running.size + ahead.length < this.slots;
    return Math.max(hasFreeSlot ? 0 : aheadMs / this.slots, pacedMs);
  }

  // Without contention, and without workspaces, shares have no influence.
  private sharesSlots(jobs: readonly JobPriority[], nowMs: number): boolean {
    return (
      this.hasWorkspaces &&
      this.hasStandingQueue(nowMs) &&
      jobs.some(({workspaceId}) => workspaceId !== undefined)
    );
  }

  // The sort is stable, so that jobs of equal priority stay in order of arrival.
  private orderQueue<J extends JobPriority>(
    jobs: readonly J[],
    nowMs: number,
  ): ReadonlyArray<OrderedJob<J>> {
    const sorted = jobs
      .map(job => this.toPlace(job, nowMs))
      .sort(comparePlaces)
      .map(({job}) => job);
    return this.sharesSlots(jobs, nowMs)
      ? orderByShares(sorted, this.shares, this.kinds, nowMs)
      : sorted.map(job => ({job, level: 'within'}));
  }

  private toPlace<J extends JobPriority>(job: J, nowMs: number): QueuePlace<J> {
    return {job, isInTime: this.meetsObjective(job, nowMs)};
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
    const {size} = this.running;
    return size === 0 ? 0 : this.runningExpectedMs / size;
  }
}

// A run that would probably be cut off by its deadline only wastes a slot.
function willLikelyExceedDeadline(job: Job, nowMs: number): boolean {
  return nowMs + MIN_RUN_TIME_SHARE * job.expectedRunMs >= job.deadlineAtMs;
}
