/** The pace of a target: how long work takes there compared with usual. */

import {PACE_HALF_LIFE_MS, PACE_SMOOTHING_MS} from './constants.js';

/** Weight of a report in the long-term mean of a pace. */
const MEAN_WEIGHT = 0.05;
/** Reports outside this range are clamped to it, so that none stops a target. */
const MIN_PACE = 0.05;
const MAX_PACE = 20;

/**
 * Estimates the current pace from reports. Reports that are close in time are
 * averaged; an old estimate decays towards the mean of all reports.
 */
export class PaceEstimate {
  private meanPace = 1;
  private recentPace = 1;
  private reportedAtMs: number | undefined;

  /** Records a reported pace: 1 as usual, 2 if work takes twice as long. */
  record(reported: number, nowMs: number): void {
    const pace = Math.min(MAX_PACE, Math.max(MIN_PACE, reported));
    const {reportedAtMs} = this;
    if (reportedAtMs === undefined) {
      this.meanPace = pace;
      this.recentPace = pace;
    } else {
      const keptShare = Math.exp(-(nowMs - reportedAtMs) / PACE_SMOOTHING_MS);
      // One report never replaces the estimate as a whole, so that noise is averaged.
      const weight = Math.min(0.7, Math.max(0.2, 1 - keptShare));
      this.recentPace += weight * (pace - this.recentPace);
      this.meanPace += MEAN_WEIGHT * (pace - this.meanPace);
    }
    this.reportedAtMs = nowMs;
  }

  /** Whether the target reports its pace. */
  isKnown(): boolean {
    return this.reportedAtMs !== undefined;
  }

  /** Returns the expected pace; 1 without a report. */
  get(nowMs: number): number {
    if (this.reportedAtMs === undefined) return 1;
    return agePace(this.recentPace, this.meanPace, nowMs - this.reportedAtMs);
  }
}

/** Returns the pace to expect some time after a report. */
export function agePace(pace: number, meanPace: number, ageMs: number): number {
  const decay = Math.pow(0.5, ageMs / PACE_HALF_LIFE_MS);
  return meanPace + decay * (pace - meanPace);
}
