/** Slots, queue and runs of the local target, from one start to the next. */

import type {RuleId} from '@cassiaknot/inventory';
import type {Job, LimitChange, SchedulerLoad} from '@cassiaknot/routing';
import {
  ConcurrencyLimit,
  DEFAULT_RUN_TIME_SHARE,
  KeyedEwma,
  PaceEstimate,
  SlotScheduler,
  WARM_UP_RUN_TIME_FACTOR,
} from '@cassiaknot/routing';
import {FOREIGN_RESPONSE_TTL_MS, TARGET_STALL_MS} from './constants.js';
import type {TargetAnnouncement} from './target_announcement.js';
import type {RelayTargetClient} from './target_client.js';

/** Whether a session admits new requests. */
export type SessionState = 'open' | 'down' | 'draining' | 'ended';

/** A request that the target is running. */
interface Run {
  readonly controller: AbortController;
  readonly startedAtMs: number;
  /** Number of requests at the target when the run started, including this one. */
  readonly concurrency: number;
}

/** How a run ended. */
export interface RunEnd {
  readonly hasResponse: boolean;
  /** Whether the response answers the request, rather than refusing it. */
  readonly isRun: boolean;
  /** Pace that the target reported with the response. */
  readonly pace?: number | undefined;
}

/** Change of the concurrency limit, with what decided it. */
export interface LimitDecision {
  readonly change: LimitChange;
  readonly limit: number;
  readonly gradient: number | undefined;
  readonly pace: number;
}

/** What a target that reports its pace has been found to do. */
export interface LearnedLoad {
  /** How long work takes now, 1 as usual. */
  readonly pace: number;
  /** Requests that the target runs well at a time. */
  readonly limit: number;
}

/**
 * Time without a response before a busy target is probed, as a multiple of the
 * longest expected run time of its runs.
 */
const STALL_RUN_TIME_FACTOR = 4;

/** State of the local target from one start to the next. */
export class RelayTargetSession {
  readonly scheduler: SlotScheduler;
  private state: SessionState = 'open';
  /** Run times by route, at the usual pace if the target reports its pace. */
  private readonly runTimes = new KeyedEwma<RuleId>();
  private readonly pace = new PaceEstimate();
  private readonly limit: ConcurrencyLimit;
  private readonly runs = new Map<Job, Run>();
  private warmUpEndsAtMs: number;
  private foreignResponseExpiresAtMs = 0;
  private lastProgressAtMs: number;
  private isProbing = false;
  private isAnotherTarget = false;

  constructor(
    private announcement: TargetAnnouncement,
    readonly client: RelayTargetClient,
    private readonly onStateChange: () => void,
  ) {
    const nowMs = performance.now();
    this.scheduler = new SlotScheduler(announcement.slots);
    this.limit = new ConcurrencyLimit(announcement.slots);
    if (announcement.pace !== undefined) {
      this.pace.record(announcement.pace, nowMs);
    }
    this.warmUpEndsAtMs = nowMs + announcement.coldMs;
    this.lastProgressAtMs = nowMs;
  }

  getAnnouncement(): TargetAnnouncement {
    return this.announcement;
  }

  getState(): SessionState {
    return this.state;
  }

  /** Applies a newer announcement from the same start. */
  update(announcement: TargetAnnouncement): void {
    const nowMs = performance.now();
    this.announcement = announcement;
    this.warmUpEndsAtMs = nowMs + announcement.coldMs;
    this.limit.setSlots(announcement.slots);
    this.scheduler.setSlots(this.getUsableSlots(), nowMs);
  }

  /** Returns the warm-up time left, during which the target runs more slowly. */
  getWarmUpLeftMs(): number {
    return Math.max(0, this.warmUpEndsAtMs - performance.now());
  }

  /** Returns the expected run time of a route, allowing for warm-up. */
  estimateRunMs(ruleId: RuleId, objectiveMs: number): number {
    const factor = this.getWarmUpLeftMs() > 0 ? WARM_UP_RUN_TIME_FACTOR : 1;
    const known = this.runTimes.get(ruleId);
    const usualMs = known ?? objectiveMs * DEFAULT_RUN_TIME_SHARE;
    // The reported pace may include the warm-up.
    return usualMs * Math.max(factor, this.pace.get(performance.now()));
  }

  /** Returns the expected run time of a route after warm-up, if it has run here. */
  getMeanRunMs(ruleId: RuleId): number | undefined {
    const usualMs = this.runTimes.get(ruleId);
    if (usualMs === undefined) return undefined;
    return usualMs * this.pace.get(performance.now());
  }

  /** Returns the number of requests that the target may run at a time. */
  getLimit(): number {
    return this.getUsableSlots();
  }

  /** Returns what was learned; undefined unless the target reports its pace. */
  getLearnedLoad(): LearnedLoad | undefined {
    if (!this.pace.isKnown()) return undefined;
    const pace = this.pace.get(performance.now());
    return {pace, limit: this.limit.get()};
  }

  /** Records the pace that the target reports with a response. */
  recordPace(pace: number): void {
    this.pace.record(pace, performance.now());
  }

  getLoad(): SchedulerLoad {
    return this.scheduler.getLoad();
  }

  /** Limits the rate of runs; returns whether the limit has changed. */
  limitRuns(runsPerSecond: number | undefined): boolean {
    return this.scheduler.setStartsPerSecond(runsPerSecond, performance.now());
  }

  /** Records the start of a run. */
  beginRun(job: Job, controller: AbortController): void {
    const startedAtMs = performance.now();
    if (this.runs.size === 0) this.lastProgressAtMs = startedAtMs;
    const concurrency = this.runs.size + 1;
    this.runs.set(job, {controller, startedAtMs, concurrency});
  }

  /**
   * Records the end of a run and releases its slot; returns a change of the limit.
   */
  endRun(
    job: Job,
    ruleId: RuleId,
    {hasResponse, isRun, pace}: RunEnd,
  ): LimitDecision | undefined {
    const nowMs = performance.now();
    const run = this.runs.get(job);
    this.runs.delete(job);
    let decision: LimitDecision | undefined;
    if (hasResponse && run) {
      this.lastProgressAtMs = nowMs;
      // Runs during warm-up would inflate the mean long after it has ended.
      if (isRun && this.getWarmUpLeftMs() === 0) {
        decision = this.recordRun(run, ruleId, nowMs, pace);
      }
    }
    this.scheduler.finish(job, nowMs);
    return decision;
  }

  private recordRun(
    run: Run,
    ruleId: RuleId,
    nowMs: number,
    reportedPace: number | undefined,
  ): LimitDecision | undefined {
    const runMs = nowMs - run.startedAtMs;
    if (reportedPace === undefined) {
      this.runTimes.record(ruleId, runMs / this.pace.get(nowMs));
      return undefined;
    }
    const usualMs = this.runTimes.get(ruleId);
    this.runTimes.record(ruleId, runMs / reportedPace);
    if (usualMs === undefined || usualMs <= 0) return undefined;
    const runRatio = runMs / reportedPace / usualMs;
    return this.applyLimit(
      this.limit.recordRun(runRatio, run.concurrency, nowMs),
    );
  }

  private applyLimit(
    change: LimitChange | undefined,
  ): LimitDecision | undefined {
    if (!change) return undefined;
    const nowMs = performance.now();
    this.scheduler.setSlots(this.getUsableSlots(), nowMs);
    return {
      change,
      limit: this.limit.get(),
      gradient: this.limit.getGradient(),
      pace: this.pace.get(nowMs),
    };
  }

  private getUsableSlots(): number {
    return this.pace.isKnown() ? this.limit.get() : this.announcement.slots;
  }

  /** Records a response that was not known to answer its request. */
  recordForeignResponse(): void {
    this.foreignResponseExpiresAtMs =
      performance.now() + FOREIGN_RESPONSE_TTL_MS;
  }

  /** Whether a connection to this target recently carried a foreign response. */
  hasRecentForeignResponse(): boolean {
    return performance.now() < this.foreignResponseExpiresAtMs;
  }

  /** Admits no new requests until the target announces itself again. */
  markDown(): void {
    if (this.state !== 'open') return;
    this.state = 'down';
    this.scheduler.refuseWaiting();
    this.onStateChange();
  }

  /**
   * Records that the target at the address has refused a request because it is
   * another one than was announced.
   */
  markMisdirected(): void {
    this.isAnotherTarget = true;
    this.markDown();
  }

  /** Whether the target at the address has denied to be the announced one. */
  isMisdirected(): boolean {
    return this.isAnotherTarget;
  }

  /** Admits requests again after the target was down. */
  markUp(): void {
    this.isAnotherTarget = false;
    if (this.state !== 'down') return;
    this.state = 'open';
    this.onStateChange();
  }

  /** Whether the target leaves or has left. */
  hasLeft(): boolean {
    return this.state === 'draining' || this.state === 'ended';
  }

  /** Stops admitting requests for good; running ones continue. */
  drain(): void {
    if (this.hasLeft()) return;
    this.state = 'draining';
    this.scheduler.close();
    this.onStateChange();
  }

  /** Ends the session because another start took over the address. */
  end(): void {
    if (this.state === 'ended') return;
    // A target that has left completes its runs; one that has not is gone.
    const completesRuns = this.state === 'draining';
    this.state = 'ended';
    this.scheduler.close();
    void (completesRuns ? this.client.closeWhenIdle() : this.client.close());
    this.onStateChange();
  }

  /**
   * Refuses late jobs. Probes a stalled target, and aborts its runs if it does not
   * accept the connection.
   */
  sweep(): void {
    const nowMs = performance.now();
    this.scheduler.sweep(nowMs);
    if (!this.isStalled(nowMs) || this.isProbing) return;
    this.isProbing = true;
    void this.client.probe().then(isReachable => {
      this.isProbing = false;
      this.lastProgressAtMs = performance.now();
      if (!isReachable) this.abortRuns();
    });
  }

  private isStalled(nowMs: number): boolean {
    if (this.runs.size === 0) return false;
    let longestRunMs = 0;
    for (const job of this.runs.keys()) {
      longestRunMs = Math.max(longestRunMs, job.expectedRunMs);
    }
    const timeoutMs = Math.max(
      TARGET_STALL_MS,
      STALL_RUN_TIME_FACTOR * longestRunMs,
    );
    return nowMs - this.lastProgressAtMs > timeoutMs;
  }

  private abortRuns(): void {
    this.markDown();
    for (const {controller} of this.runs.values()) {
      controller.abort('target-silent');
    }
  }
}
