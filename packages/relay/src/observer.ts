/** Receives the decisions of the request path, for logs and counters. */

import type {LogLevel} from '@cassiaknot/coordination';

/** Values that decided something. */
export type DecisionFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Receives decisions; must return at once. */
export interface RelayObserver {
  /** One decision on a request or a belief. */
  decide(
    level: LogLevel,
    part: string,
    event: string,
    fields: DecisionFields,
  ): void;
  /** Counts an event by its reason. */
  count(event: CountedEvent, reason: string): void;
  /** Records a latency. */
  measure(stage: MeasuredStage, latencyMs: number): void;
}

/** Events that are counted. */
export type CountedEvent =
  | 'answered'
  | 'refused'
  | 'lost'
  | 'retried'
  | 'retry-denied'
  | 'offer-refused'
  | 'target-loss'
  | 'announcement';

/** Stages whose latency is measured. */
export type MeasuredStage = 'request' | 'target-run' | 'gate-wait';
