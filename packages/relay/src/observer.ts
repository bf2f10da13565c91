/** Observer of the request path, for logs and metrics. */

import type {LogLevel} from '@cassiaknot/coordination';

/** Fields of a log line. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Receives events of the request path; must not block. */
export interface RelayObserver {
  /** Logs a decision on a request or a change of known state. */
  log(
    level: LogLevel,
    component: string,
    event: string,
    fields: LogFields,
  ): void;
  /** Counts an event by its reason. */
  count(event: CountedEvent, reason: string): void;
  /** Records the latency of a stage. */
  measure(stage: MeasuredStage, latencyMs: number): void;
}

/** Events that are counted. */
export type CountedEvent =
  | 'answered'
  | 'refused'
  | 'lost'
  /** A request whose connection was reset at the end of a stop. */
  | 'cut'
  | 'retried'
  | 'retry-denied'
  | 'offer-refused'
  /** A request that came back after a refusal, by the reason of that. */
  | 'repeated'
  /** A refusal of such a request, by its own reason. */
  | 'refused-again'
  | 'target-loss'
  | 'withdrawn'
  | 'target-refusal'
  | 'target-report'
  /** A change of the number of requests that the target runs well at a time. */
  | 'target-limit'
  /** What is sent to other data centres, and what is held back. */
  | 'spill'
  | 'announcement'
  /** Memory that was refused, or given up for others. */
  | 'memory'
  /** A reservation of memory that had to wait. */
  | 'memory-wait'
  /** A connection that was closed because of a limit. */
  | 'connection-closed'
  /** How a request of a limited workspace got its permit, or why not. */
  | 'quota'
  /** What a lender did with a request for permits. */
  | 'permits';

/** Stages whose latency is measured. */
export type MeasuredStage =
  | 'request'
  | 'target-run'
  | 'gate-wait'
  /** Time for which a request waited for a permit. */
  | 'quota-wait'
  /** Delay of an offer beyond that of the fastest one of its link. */
  | 'offer-transit'
  /** Time by which the event loop ran a periodic task too late. */
  | 'loop-delay';
