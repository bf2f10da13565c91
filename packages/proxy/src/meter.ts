/** Metrics of the request path: counters and latency percentiles. */

import {Counter, Gauge} from 'prom-client';
import type {Registry} from 'prom-client';
import type {LatencySummary} from './latency_window.js';
import {LatencyWindow} from './latency_window.js';
import type {NotRunReason, ProxyOutcome, UnknownReason} from './outcome.js';

/** Part of the request path to which a metric applies. */
export type ProxyRole = 'entry' | 'gate';

/** Reason of the outcome that the entry retried. */
export type RetryReason = NotRunReason | UnknownReason;

/**
 * Why the entry did not retry a retryable outcome; `nested` if an entry earlier
 * in the chain of calls is already retrying.
 */
export type RetryRefusal =
  'budget' | 'deadline' | 'attempts' | 'nested' | 'no-other-target';

/** Counts outcomes, retries and retries not made; records latencies. */
export class ProxyMeter {
  private readonly totalLatency = new LatencyWindow();
  private readonly addedLatency = new LatencyWindow();
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

  countOutcome(role: ProxyRole, outcome: ProxyOutcome): void {
    const reason = outcome.kind === 'answered' ? 'none' : outcome.reason;
    this.outcomes.inc({role, outcome: outcome.kind, reason});
  }

  countRetry(reason: RetryReason): void {
    this.retries.inc({reason});
  }

  /** Counts a retryable outcome that was not retried. */
  countRetryRefused(cause: RetryRefusal): void {
    this.retryRefusals.inc({cause});
  }

  /** Records an answered request's latency, total and without the target's. */
  recordLatency(totalUs: number, targetUs: number): void {
    this.totalLatency.record(totalUs);
    this.addedLatency.record(totalUs - targetUs);
  }

  /** Summarises the latency of answered requests without the target's. */
  getAddedLatency(): LatencySummary {
    return this.addedLatency.summarize();
  }

  /** Summarises the total latency of answered requests. */
  getTotalLatency(): LatencySummary {
    return this.totalLatency.summarize();
  }

  private registerLatencies(registry: Registry): void {
    const windows = {added: this.addedLatency, total: this.totalLatency};
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
