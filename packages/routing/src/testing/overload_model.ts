/** One target under a given load, on simulated time, for tests of policies. */

import type {Job, SlotScheduler} from '../slot_scheduler.js';
import {drawWorkMs} from './draw_work.js';

/** One kind of request that the model sends. */
export interface LoadKind {
  readonly name: string;
  readonly perSecond: number;
  readonly urgency: number;
  readonly meanWorkMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
}

/** What became of the requests of one kind. */
export interface LoadResult {
  readonly offered: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  /** Sum of the times for which the refused were held. */
  readonly refusedHeldMs: number;
}

interface Timed {
  readonly atMs: number;
  readonly act: () => void;
}

/** Period of the checks for jobs that can't be served any more. */
const SWEEP_MS = 50;
const MS_PER_SECOND = 1_000;

/** Plays a load against a scheduler. */
export class OverloadModel {
  private nowMs = 0;
  private events: Timed[] = [];
  private readonly results = new Map<string, MutableResult>();

  constructor(
    private readonly scheduler: SlotScheduler,
    private readonly random: () => number,
  ) {}

  /** Sends all kinds for the given time and lets what waits come to its end. */
  play(
    kinds: readonly LoadKind[],
    lengthMs: number,
  ): ReadonlyMap<string, LoadResult> {
    for (const kind of kinds) {
      this.results.set(kind.name, newResult());
      this.scheduleArrivals(kind, lengthMs);
    }
    for (let atMs = 0; atMs < 2 * lengthMs; atMs += SWEEP_MS) {
      this.at(atMs, () => this.scheduler.sweep(this.nowMs));
    }
    for (let next = this.take(); next; next = this.take()) {
      this.nowMs = next.atMs;
      next.act();
    }
    return this.results;
  }

  private scheduleArrivals(kind: LoadKind, lengthMs: number): void {
    const gapMs = MS_PER_SECOND / kind.perSecond;
    let atMs = 0;
    for (;;) {
      atMs -= Math.log(1 - this.random()) * gapMs;
      if (atMs >= lengthMs) return;
      this.at(atMs, () => this.arrive(kind));
    }
  }

  private arrive(kind: LoadKind): void {
    const result = this.getResult(kind);
    const arrivedAtMs = this.nowMs;
    const actualMs = drawWorkMs(kind.meanWorkMs, this.random);
    const refuse = () => {
      result.refused += 1;
      result.refusedHeldMs += this.nowMs - arrivedAtMs;
    };
    const job: Job = {
      urgency: kind.urgency,
      workMs: kind.meanWorkMs,
      objectiveAtMs: arrivedAtMs + kind.objectiveMs,
      deadlineAtMs: arrivedAtMs + kind.deadlineMs,
      maxWaitMs: kind.deadlineMs,
      start: () => this.at(this.nowMs + actualMs, () => finish()),
      refuse,
    };
    const finish = () => {
      const tookMs = this.nowMs - arrivedAtMs;
      if (tookMs <= kind.objectiveMs) result.inTime += 1;
      else if (tookMs <= kind.deadlineMs) result.late += 1;
      this.scheduler.finish(job, this.nowMs);
    };
    result.offered += 1;
    const {kind: outcome} = this.scheduler.offer(job, this.nowMs);
    if (outcome === 'refused') refuse();
  }

  private getResult(kind: LoadKind): MutableResult {
    const result = this.results.get(kind.name);
    if (!result) throw new Error(`no result of ${kind.name}`);
    return result;
  }

  private at(atMs: number, act: () => void): void {
    this.events.push({atMs, act});
  }

  private take(): Timed | undefined {
    let best: Timed | undefined;
    for (const event of this.events) {
      if (!best || event.atMs < best.atMs) best = event;
    }
    if (best) this.events = this.events.filter(event => event !== best);
    return best;
  }
}

type MutableResult = {-readonly [K in keyof LoadResult]: LoadResult[K]};

function newResult(): MutableResult {
  return {offered: 0, inTime: 0, late: 0, refused: 0, refusedHeldMs: 0};
}
