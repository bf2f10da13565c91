/** Slots, queue and runs of the local target, from one start to the next. */

import type {RuleId} from '@cassiaknot/inventory';
import type {Job, SchedulerLoad} from '@cassiaknot/routing';
import {
  DEFAULT_RUN_TIME_SHARE,
  KeyedEwma,
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
  private readonly runTimes = new KeyedEwma<RuleId>();
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
    this.scheduler.setSlots(announcement.slots, nowMs);
  }

  /** Returns the warm-up time left, during which the target runs more slowly. */
  getWarmUpLeftMs(): number {
    return Math.max(0, this.warmUpEndsAtMs - performance.now());
  }

  /** Returns the expected run time of a route, allowing for warm-up. */
  estimateRunMs(ruleId: RuleId, objectiveMs: number): number {
    const factor = this.getWarmUpLeftMs() > 0 ? WARM_UP_RUN_TIME_FACTOR : 1;
    const known = this.runTimes.get(ruleId);
    return (known ?? objectiveMs * DEFAULT_RUN_TIME_SHARE) * factor;
  }

  /** Returns the mean run time of a route, if it has run here. */
  getMeanRunMs(ruleId: RuleId): number | undefined {
    return this.runTimes.get(ruleId);
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
    this.runs.set(job, {controller, startedAtMs});
  }

  /** Records the end of a run and releases its slot. */
  endRun(job: Job, ruleId: RuleId, hasResponse: boolean): void {
    const nowMs = performance.now();
    const run = this.runs.get(job);
    this.runs.delete(job);
    if (hasResponse && run) {
      this.lastProgressAtMs = nowMs;
      // Runs during warm-up would inflate the mean long after it has ended.
      if (this.getWarmUpLeftMs() === 0) {
        this.runTimes.record(ruleId, nowMs - run.startedAtMs);
      }
    }
    this.scheduler.finish(job, nowMs);
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
