/** A fleet under load, as the model plays it. */

import type {DataCentreId, InstanceId, ServiceId} from '@cassiaknot/inventory';

/** A call that a target makes while it runs a request. */
export interface ModelCall {
  readonly kindName: string;
  /** Share of the runs that make it. */
  readonly share: number;
}

/** One kind of request. */
export interface ModelKind {
  readonly name: string;
  readonly serviceId: ServiceId;
  /** 0 for kinds that only targets call. */
  readonly perSecond: number;
  readonly urgency: number;
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  readonly isIdempotent: boolean;
  readonly calls: readonly ModelCall[];
}

/** One target and the instance that it stands on. */
export interface ModelTarget {
  readonly instanceId: InstanceId;
  readonly dataCentreId: DataCentreId;
  readonly serviceId: ServiceId;
  readonly slots: number;
  /** Factor on the work of each request; above 1 is slower. */
  readonly speedFactor: number;
}

/** Time in which more requests come. */
export interface ModelBurst {
  readonly fromMs: number;
  readonly untilMs: number;
  readonly factor: number;
}

/** All that one play needs beside its seed. */
export interface ModelScenario {
  readonly lengthMs: number;
  /** Way between data centres. */
  readonly oneWayMs: number;
  readonly targets: readonly ModelTarget[];
  readonly kinds: readonly ModelKind[];
  readonly bursts: readonly ModelBurst[];
}

/** What became of the requests of one kind. */
export interface KindResult {
  offered: number;
  inTime: number;
  late: number;
  refused: number;
  failed: number;
  /** Answered by a target of another data centre. */
  remote: number;
}
