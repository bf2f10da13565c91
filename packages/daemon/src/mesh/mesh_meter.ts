/** Metrics of the request path: counters, latency histograms and gauges. */

import type {CountedEvent, MeasuredStage} from '@cassiaknot/relay';
import type {Registry} from 'prom-client';
import {Counter, Histogram} from 'prom-client';
import {registerGauge} from '../register_gauge.js';

/** Values that are sampled on each scrape. */
export interface MeshGauges {
  getVersion(): number;
  getOpenGateCount(): number;
  getWaitingCount(): number;
  getRunningCount(): number;
  getOverShareCount(): number;
  /** Requests that the target may run at a time, as learned. */
  getTargetLimit(): number;
  /** How long work takes at the target now; 1 as usual or if it doesn't say. */
  getTargetPace(): number;
  getDroppedLogLineCount(): number;
  getLentWorkspaceCount(): number;
}

/** Upper bounds of the latency buckets, in milliseconds. */
const LATENCY_BUCKETS_MS = [
  1, 2, 5, 10, 20, 50, 100, 200, 400, 800, 1_600, 3_200,
];

/** Records the metrics of the request path. */
export class MeshMeter {
  private readonly events;
  private readonly latencies;

  constructor(private readonly registry: Registry) {
    const registers = [registry];
    this.events = new Counter({
      name: 'cassiaknot_decisions_total',
      help: 'Decisions on requests, by event and reason',
      labelNames: ['event', 'reason'],
      registers,
    });
    this.latencies = new Histogram({
      name: 'cassiaknot_latency_ms',
      help: 'Latency by stage, in milliseconds',
      labelNames: ['stage'],
      buckets: LATENCY_BUCKETS_MS,
      registers,
    });
  }

  count(event: CountedEvent, reason: string): void {
    this.events.inc({event, reason});
  }

  measure(stage: MeasuredStage, latencyMs: number): void {
    this.latencies.observe({stage}, latencyMs);
  }

  registerGauges(gauges: MeshGauges): void {
    const gaugeDefinitions: ReadonlyArray<
      readonly [string, string, () => number]
    > = [
      ['cassiaknot_version', 'Version in force', () => gauges.getVersion()],
      [
        'cassiaknot_open_gates',
        'Gates with an open link',
        () => gauges.getOpenGateCount(),
      ],
      [
        'cassiaknot_waiting',
        'Requests that wait for the target',
        () => gauges.getWaitingCount(),
      ],
      [
        'cassiaknot_running',
        'Requests that the target runs',
        () => gauges.getRunningCount(),
      ],
      [
        'cassiaknot_target_limit',
        'Requests that the target runs well at a time',
        () => gauges.getTargetLimit(),
      ],
      [
        'cassiaknot_target_pace',
        'How long work takes at the target, 1 as usual',
        () => gauges.getTargetPace(),
      ],
      [
        'cassiaknot_workspaces_over_share',
        'Workspaces above their fair share while requests queue for the target',
        () => gauges.getOverShareCount(),
      ],
      [
        'cassiaknot_log_lines_dropped',
        'Log lines left out because the output was not read',
        () => gauges.getDroppedLogLineCount(),
      ],
      [
        'cassiaknot_lent_workspaces',
        'Workspaces of which this instance lends permits',
        () => gauges.getLentWorkspaceCount(),
      ],
    ];
    for (const [name, help, readValue] of gaugeDefinitions) {
      registerGauge(this.registry, name, help, readValue);
    }
  }
}
