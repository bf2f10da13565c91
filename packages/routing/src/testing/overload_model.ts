/** Simulates one target under a given load, for tests of scheduling policies. */

import type {Job} from '../job.js';
import type {SlotScheduler} from '../slot_scheduler.js';
import {sampleRunMs} from './sample_run_time.js';

/** A class of requests that the simulation sends. */
export interface RequestClass {
  readonly name: string;
  readonly workspaceId?: string;
  readonly workspaceUrgency?: number;
  readonly requestsPerSecond: number;
  readonly urgency: number;
  readonly meanRunMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
}

/** Results of the requests of one class. */
export interface ClassResult {
  readonly offered: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  /** Total time that refused requests were queued. */
  readonly refusedWaitMs: number;
}

interface ScheduledEvent {
  readonly atMs: number;
  readonly run: () => void;
}

/** Interval at which the scheduler sheds late jobs. */
const SWEEP_INTERVAL_MS = 50;
const MS_PER_SECOND = 1_000;

/** Simulates a load against a scheduler. */
export class OverloadModel {
  private nowMs = 0;
  private events: ScheduledEvent[] = [];
  private readonly results = new Map<string, MutableResult>();

  constructor(
    private readonly scheduler: SlotScheduler,
    private readonly random: () => number,
  ) {}

  /** Sends all classes for the given time and runs all queued jobs to the end. */
  run(
    classes: readonly RequestClass[],
    lengthMs: number,
  ): ReadonlyMap<string, ClassResult> {
    for (const requestClass of classes) {
      this.results.set(requestClass.name, newResult());
      this.scheduleArrivals(requestClass, lengthMs);
    }
    for (let atMs = 0; atMs < 2 * lengthMs; atMs += SWEEP_INTERVAL_MS) {
      this.schedule(atMs, () => this.scheduler.sweep(this.nowMs));
    }
    for (let next = this.takeNext(); next; next = this.takeNext()) {
      this.nowMs = next.atMs;
      next.run();
    }
    return this.results;
  }

  private scheduleArrivals(requestClass: RequestClass, lengthMs: number): void {
    const gapMs = MS_PER_SECOND / requestClass.requestsPerSecond;
    let atMs = 0;
    for (;;) {
      atMs -= Math.log(1 - this.random()) * gapMs;
      if (atMs >= lengthMs) return;
      this.schedule(atMs, () => this.arrive(requestClass));
    }
  }

  private arrive(requestClass: RequestClass): void {
    const result = this.getResult(requestClass);
    const arrivedAtMs = this.nowMs;
    const actualMs = sampleRunMs(requestClass.meanRunMs, this.random);
    const refuse = () => {
      result.refused += 1;
      result.refusedWaitMs += this.nowMs - arrivedAtMs;
    };
    const job: Job = {
      urgency: requestClass.urgency,
      workspaceId: requestClass.workspaceId,
      workspaceUrgency: requestClass.workspaceUrgency,
      expectedRunMs: requestClass.meanRunMs,
      objectiveAtMs: arrivedAtMs + requestClass.objectiveMs,
      deadlineAtMs: arrivedAtMs + requestClass.deadlineMs,
      maxWaitMs: requestClass.deadlineMs,
      start: () => this.schedule(this.nowMs + actualMs, () => finish()),
      refuse,
    };
    const finish = () => {
      const tookMs = this.nowMs - arrivedAtMs;
      if (tookMs <= requestClass.objectiveMs) result.inTime += 1;
      else if (tookMs <= requestClass.deadlineMs) result.late += 1;
      this.scheduler.finish(job, this.nowMs);
    };
    result.offered += 1;
    const {kind: outcome} = this.scheduler.offer(job, this.nowMs);
    if (outcome === 'refused') refuse();
  }

  private getResult(requestClass: RequestClass): MutableResult {
    const result = this.results.get(requestClass.name);
    if (!result) throw new Error(`no result for class ${requestClass.name}`);
    return result;
  }

  private schedule(atMs: number, run: () => void): void {
    this.events.push({atMs, run});
  }

  private takeNext(): ScheduledEvent | undefined {
    let earliest: ScheduledEvent | undefined;
    for (const event of this.events) {
      if (!earliest || event.atMs < earliest.atMs) earliest = event;
    }
    if (earliest) this.events = this.events.filter(event => event !== earliest);
    return earliest;
  }
}

type MutableResult = {-readonly [K in keyof ClassResult]: ClassResult[K]};

function newResult(): MutableResult {
  return {offered: 0, inTime: 0, late: 0, refused: 0, refusedWaitMs: 0};
}
