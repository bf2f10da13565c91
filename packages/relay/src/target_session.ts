/** One start of the target beside this gate: its slots, queue and runs. */

import type {RuleId} from '@cassiaknot/inventory';
import type {Job, SchedulerLoad} from '@cassiaknot/routing';
import {
  COLD_FACTOR,
  INITIAL_WORK_SHARE,
  SlotScheduler,
  SmoothedMeans,
} from '@cassiaknot/routing';
import {STRAY_MEMORY_MS, TARGET_STALL_MS} from './constants.js';
import type {TargetAnnouncement} from './target_announcement.js';
import type {TargetClient} from './target_client.js';

/** Whether a session takes new requests. */
export type SessionState = 'open' | 'down' | 'draining' | 'ended';

/** Aborts one run. */
interface Run {
  readonly controller: AbortController;
  readonly startedAtMs: number;
}

/** Stall after which a target is probed, in run times of the route. */
const STALL_RUNS = 4;

/** State of one start of a target. */
export class TargetSession {
  readonly scheduler: SlotScheduler;
  private state: SessionState = 'open';
  private readonly runMeans = new SmoothedMeans<RuleId>();
  private readonly runs = new Map<Job, Run>();
  private coldUntilMs: number;
  private strayUntilMs = 0;
  private lastProgressMs: number;
  private isProbing = false;

  constructor(
    private announcement: TargetAnnouncement,
    readonly client: TargetClient,
    private readonly onStateChange: () => void,
  ) {
    const nowMs = performance.now();
    this.scheduler = new SlotScheduler(announcement.slots);
    this.coldUntilMs = nowMs + announcement.coldMs;
    this.lastProgressMs = nowMs;
  }

  getAnnouncement(): TargetAnnouncement {
    return this.announcement;
  }

  getState(): SessionState {
    return this.state;
  }

  /** Takes over a newer announcement of the same start. */
  update(announcement: TargetAnnouncement): void {
    const nowMs = performance.now();
    this.announcement = announcement;
    this.coldUntilMs = nowMs + announcement.coldMs;
    this.scheduler.setSlots(announcement.slots, nowMs);
  }

  /** Time for which the target is still slow. */
  getColdMs(): number {
    return Math.max(0, this.coldUntilMs - performance.now());
  }

  /** Expected run time of a route here. */
  estimateRunMs(ruleId: RuleId, objectiveMs: number): number {
    const cold = this.getColdMs() > 0 ? COLD_FACTOR : 1;
    const known = this.runMeans.get(ruleId);
    return (known ?? objectiveMs * INITIAL_WORK_SHARE) * cold;
  }

  /** Expected run time of a route, if it has run here. */
  getRunMs(ruleId: RuleId): number | undefined {
    return this.runMeans.get(ruleId);
  }

  getLoad(): SchedulerLoad {
    return this.scheduler.getLoad();
  }

  /** Records that a job runs now. */
  beginRun(job: Job, controller: AbortController): void {
    const startedAtMs = performance.now();
    if (this.runs.size === 0) this.lastProgressMs = startedAtMs;
    this.runs.set(job, {controller, startedAtMs});
  }

  /** Records the end of a run and gives the slot on. */
  endRun(job: Job, ruleId: RuleId, hasAnswered: boolean): void {
    const nowMs = performance.now();
    const run = this.runs.get(job);
    this.runs.delete(job);
    if (hasAnswered && run) {
      this.lastProgressMs = nowMs;
      // Runs while cold would make the target look slow for long after.
      if (this.getColdMs() === 0) {
        this.runMeans.record(ruleId, nowMs - run.startedAtMs);
      }
    }
    this.scheduler.finish(job, nowMs);
  }

  /** Records an answer that belonged to no request on its connection. */
  recordStray(): void {
    this.strayUntilMs = performance.now() + STRAY_MEMORY_MS;
  }

  /** Whether connections of this target have carried strays lately. */
  hasStrays(): boolean {
    return performance.now() < this.strayUntilMs;
  }

  /** Takes no new requests until the target is heard of again. */
  markDown(): void {
    if (this.state !== 'open') return;
    this.state = 'down';
    this.scheduler.refuseWaiting();
    this.onStateChange();
  }

  /** Takes requests again after having been down. */
  markUp(): void {
    if (this.state !== 'down') return;
    this.state = 'open';
    this.onStateChange();
  }

  /** Takes no new requests any more; those that run go on. */
  drain(): void {
    if (this.state === 'draining' || this.state === 'ended') return;
    this.state = 'draining';
    this.scheduler.close();
    this.onStateChange();
  }

  /** Ends the session: another start has taken the address. */
  end(): void {
    if (this.state === 'ended') return;
    this.state = 'ended';
    this.scheduler.close();
    void this.client.close();
    this.onStateChange();
  }

  /** Refuses late jobs; probes a target that has been silent for long. */
  sweep(): void {
    const nowMs = performance.now();
    this.scheduler.sweep(nowMs);
    if (!this.isStalled(nowMs) || this.isProbing) return;
    this.isProbing = true;
    void this.client.probe().then(isReachable => {
      this.isProbing = false;
      this.lastProgressMs = performance.now();
      if (!isReachable) this.abandonRuns();
    });
  }

  private isStalled(nowMs: number): boolean {
    if (this.runs.size === 0) return false;
    let longestWorkMs = 0;
    for (const job of this.runs.keys()) {
      longestWorkMs = Math.max(longestWorkMs, job.workMs);
    }
    const boundMs = Math.max(TARGET_STALL_MS, STALL_RUNS * longestWorkMs);
    return nowMs - this.lastProgressMs > boundMs;
  }

  private abandonRuns(): void {
    this.markDown();
    for (const {controller} of this.runs.values()) {
      controller.abort('target-silent');
    }
  }
}
