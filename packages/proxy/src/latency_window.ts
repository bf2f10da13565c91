/** Latency percentiles over a recent time window. */

import type {Histogram} from 'hdr-histogram-js';
import {build} from 'hdr-histogram-js';

/** Percentiles of a latency, in microseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50Us: number;
  readonly p99Us: number;
  readonly p999Us: number;
  readonly maxUs: number;
}

const WINDOW_MS = 10_000;
const MAX_LATENCY_US = 600_000_000;
const SIGNIFICANT_DIGITS = 2;

/** Histograms of the current and the previous window. */
export class LatencyWindow {
  private current = newHistogram();
  private previous = newHistogram();
  private startedAtMs = performance.now();

  record(latencyUs: number): void {
    this.rotate();
    this.current.recordValue(Math.round(Math.max(0, latencyUs)));
  }

  /** Summarises the last one to two windows. */
  summarize(): LatencySummary {
    this.rotate();
    const merged = newHistogram();
    merged.add(this.previous);
    merged.add(this.current);
    return {
      count: merged.totalCount,
      p50Us: merged.getValueAtPercentile(50),
      p99Us: merged.getValueAtPercentile(99),
      p999Us: merged.getValueAtPercentile(99.9),
      maxUs: merged.maxValue,
    };
  }

  private rotate(): void {
    const nowMs = performance.now();
    const elapsedMs = nowMs - this.startedAtMs;
    if (elapsedMs < WINDOW_MS) return;
    const isPreviousStale = elapsedMs >= 2 * WINDOW_MS;
    this.previous = isPreviousStale ? newHistogram() : this.current;
    this.current = newHistogram();
    this.startedAtMs = nowMs;
  }
}

function newHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}
