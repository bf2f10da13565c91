/**
 * Learns how many requests a target runs well at a time. Run times with many
 * requests at the target are compared with those of the same period with few, so
 * that a slowdown for another reason, such as a slow nested call, has no effect.
 */

import {Ewma} from './ewma.js';

/** Weight of a run in the mean of its level of concurrency. */
const SAMPLE_WEIGHT = 0.1;
/** Runs at a high concurrency between two decisions. */
const SAMPLES_PER_DECISION = 12;
/** Least time between two decisions. */
const MIN_DECISION_INTERVAL_MS = 150;
/** Longer runs count as this multiple of the mean, so that one changes little. */
const MAX_RUN_RATIO = 4;
/** Ratio of fast to slow runs below which the limit shrinks. */
const SHRINK_GRADIENT = 0.55;
/** Ratio of fast to slow runs from which on a limit that is in use grows. */
const GROW_GRADIENT = 0.75;
/** Time without runs at low concurrency after which the limit grows again. */
const MAX_BASELINE_AGE_MS = 4_000;

/** Why a limit has changed. */
export type LimitChange = 'faster' | 'slower' | 'no-baseline';

/** Concurrency limit between 1 and the number of slots. */
export class ConcurrencyLimit {
  private limit: number;
  private low = new Ewma(SAMPLE_WEIGHT);
  private high = new Ewma(SAMPLE_WEIGHT);
  private lowAtMs = 0;
  private highCount = 0;
  private wasInFullUse = false;
  private decidedAtMs = 0;

  constructor(private slots: number) {
    this.limit = slots;
  }

  /** Returns the number of requests that the target may run at a time. */
  get(): number {
    return this.limit;
  }

  /** Ratio of run times at low concurrency to those at high concurrency. */
  getGradient(): number | undefined {
    const low = this.low.get();
    const high = this.high.get();
    return low === undefined || high === undefined ? undefined : low / high;
  }

  /** Changes the number of slots; a limit that was not in force follows it. */
  setSlots(slots: number): void {
    const wasUnlimited = this.limit >= this.slots;
    this.slots = slots;
    this.limit = wasUnlimited ? slots : Math.min(this.limit, slots);
  }

  /**
   * Records a run and decides when there are enough. `runRatio` is the run time
   * divided by the one expected at the pace of the target; `concurrency` is the
   * number of requests at the target when the run started, including it.
   */
  recordRun(
    runRatio: number,
    concurrency: number,
    nowMs: number,
  ): LimitChange | undefined {
    const sample = Math.min(runRatio, MAX_RUN_RATIO);
    if (concurrency <= Math.max(1, Math.floor(this.limit / 2))) {
      this.low.record(sample);
      this.lowAtMs = nowMs;
      if (this.limit > 1) return undefined;
    }
    if (this.limit > 1) this.high.record(sample);
    this.highCount += 1;
    if (concurrency >= this.limit) this.wasInFullUse = true;
    return this.decide(nowMs);
  }

  private decide(nowMs: number): LimitChange | undefined {
    if (this.highCount < SAMPLES_PER_DECISION) return undefined;
    if (nowMs - this.decidedAtMs < MIN_DECISION_INTERVAL_MS) return undefined;
    const {wasInFullUse} = this;
    this.highCount = 0;
    this.wasInFullUse = false;
    const gradient = this.getGradient();
    const isStale = nowMs - this.lowAtMs > MAX_BASELINE_AGE_MS;
    if (gradient === undefined || isStale) {
      if (!wasInFullUse) return undefined;
      return this.change(this.limit + 1, 'no-baseline', nowMs);
    }
    if (gradient < SHRINK_GRADIENT) {
      return this.change(this.limit - 1, 'slower', nowMs);
    }
    if (gradient < GROW_GRADIENT || !wasInFullUse) return undefined;
    return this.change(this.limit + 1, 'faster', nowMs);
  }

  private change(
    wanted: number,
    reason: LimitChange,
    nowMs: number,
  ): LimitChange | undefined {
    const limit = Math.min(this.slots, Math.max(1, wanted));
    if (limit === this.limit) return undefined;
    this.limit = limit;
    this.decidedAtMs = nowMs;
    this.highCount = 0;
    this.high = new Ewma(SAMPLE_WEIGHT);
    return reason;
  }
}
