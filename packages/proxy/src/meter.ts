/** Counters and latency histograms of the request path. */

import {Counter, Gauge} from 'prom-client';
import type {Registry} from 'prom-client';
import type {LatencySummary} from './latency_window.js';
import {LatencyWindow} from './latency_window.js';
import type {NotRunReason, Outcome, UnknownReason} from './outcome.js';

/** Where in the request path something was counted. */
export type ProxyRole = 'entry' | 'gate';

/** Why the entry tried again. */
export type RetryReason = NotRunReason | UnknownReason;

/** Why the entry gave up although it might have tried again. */
export type RetryRefusal =
  'budget' | 'deadline' | 'attempts' | 'nested' | 'no-other-target';

/** Counts outcomes, refusals and retries by reason. */
export class ProxyMeter {
  private readonly total = new LatencyWindow();
  private readonly added = new LatencyWindow();
  private readonly outcomes;
  private readonly retries;
  private readonly retryRefusals;

  constructor(registry: Registry) {
    this.outcomes = new Counter({
      name: 'cassiaknot_requests_total',
      help: 'Requests by role, outcome and reason',
      labelNames: ['role', 'outcome', 'reason'],
      registers: [registry],
    });
    this.retries = new Counter({
      name: 'cassiaknot_retries_total',
      help: 'Retries by the reason of the failed attempt',
      labelNames: ['reason'],
      registers: [registry],
    });
    this.retryRefusals = new Counter({
      name: 'cassiaknot_retries_refused_total',
      help: 'Retries not made, by cause',
      labelNames: ['cause'],
      registers: [registry],
    });
    this.registerLatencies(registry);
  }

  /** Counts the outcome of a request. */
  countOutcome(role: ProxyRole, outcome: Outcome): void {
    const reason = outcome.kind === 'answered' ? 'none' : outcome.reason;
    this.outcomes.inc({role, outcome: outcome.kind, reason});
  }

  /** Counts a retry. */
  countRetry(reason: RetryReason): void {
    this.retries.inc({reason});
  }

  /** Counts a retry that was not made. */
  countRetryRefused(cause: RetryRefusal): void {
    this.retryRefusals.inc({cause});
  }

  /** Records an answered request's time and the part not spent in a target. */
  recordLatency(totalUs: number, targetUs: number): void {
    this.total.record(totalUs);
    this.added.record(totalUs - targetUs);
  }

  /** Summarises the time that the mesh added to answered requests. */
  getAddedLatency(): LatencySummary {
    return this.added.summarize();
  }

  /** Summarises the whole time of answered requests. */
  getTotalLatency(): LatencySummary {
    return this.total.summarize();
  }

  private registerLatencies(registry: Registry): void {
    const windows = {added: this.added, total: this.total};
    new Gauge({
      name: 'cassiaknot_latency_microseconds',
      help: 'Latency percentiles of answered requests',
      labelNames: ['part', 'quantile'],
      registers: [registry],
      collect() {
        for (const [part, window] of Object.entries(windows)) {
          const summary = window.summarize();
          this.set({part, quantile: '0.5'}, summary.p50Us);
          this.set({part, quantile: '0.99'}, summary.p99Us);
          this.set({part, quantile: '0.999'}, summary.p999Us);
        }
      },
    });
  }
}
