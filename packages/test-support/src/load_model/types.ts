/** Types of the load model: the simulated fleet, its load and the results. */

import type {DataCentreId, InstanceId, ServiceId} from '@cassiaknot/inventory';

/** A call that a target makes to another service while it runs a request. */
export interface DownstreamCall {
  readonly kindName: string;
  /** Probability that a run makes the call. */
  readonly probability: number;
}

/** One kind of request: its arrival rate, cost and latency objective. */
export interface RequestKind {
  readonly name: string;
  readonly serviceId: ServiceId;
  /** Arrival rate from callers; 0 for kinds that only targets call. */
  readonly perSecond: number;
  /** Rank under load; 0 is served first. */
  readonly urgency: number;
  readonly meanWorkMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  readonly isIdempotent: boolean;
  readonly calls: readonly DownstreamCall[];
}

/** One target and the instance that it runs on. */
export interface TargetSpec {
  readonly instanceId: InstanceId;
  readonly dataCentreId: DataCentreId;
  readonly serviceId: ServiceId;
  readonly slots: number;
  /** Multiplier on the run time of each request; above 1 is slower. */
  readonly slowdownFactor: number;
  /** How the speed changes; undefined if it doesn't, and no pace is reported. */
  readonly pace?: PaceSpec | undefined;
  /** Running requests from which on each further one slows all down. */
  readonly knee?: number;
  /** Slowdown by each request above the knee, as a share of the run time. */
  readonly slowdownPerRun?: number;
}

/** Changes of the speed of a target, which reports them. */
export interface PaceSpec {
  /** Standard deviation of the logarithm of the pace. */
  readonly logSigma: number;
  /** Mean time between two changes. */
  readonly meanIntervalMs: number;
}

/**
 * Interval in which the arrival rates are multiplied by a factor. Times count from
 * the start of the load.
 */
export interface LoadBurst {
  readonly fromMs: number;
  readonly untilMs: number;
  readonly factor: number;
}

/** A workspace whose callers send requests. */
export interface WorkspaceSpec {
  readonly id: string;
  /** Its requests, relative to those of other workspaces. */
  readonly weight: number;
}

/** Input of one simulation run, apart from its seed. */
export interface LoadScenario {
  /** Time during which callers send requests. */
  readonly lengthMs: number;
  /** One-way network delay between data centres. */
  readonly oneWayDelayMs: number;
  readonly targets: readonly TargetSpec[];
  readonly kinds: readonly RequestKind[];
  readonly bursts: readonly LoadBurst[];
  /** Uneven demand between data centres; undefined if it is even. */
  readonly wave?: LoadWave | undefined;
  /**
   * Workspaces of the callers. Their callers come back after each refusal when they
   * were told to, until their deadline; only called kinds need no key.
   */
  readonly workspaces?: readonly WorkspaceSpec[];
}

/**
 * Demand that moves between data centres: that of each one follows a sine, with
 * the phases spread evenly.
 */
export interface LoadWave {
  readonly periodMs: number;
  /** Largest difference to the mean, as a share of it. */
  readonly share: number;
}

/** Number of requests of one kind, by outcome. */
export interface RequestCounts {
  /** Requests of callers and downstream calls; retries are not counted. */
  offered: number;
  /** Answered with status 200 within the latency objective. */
  inTime: number;
  /** Answered with status 200 after the latency objective. */
  late: number;
  /** Refused at the last attempt. */
  refused: number;
  /** Attempts that were refused, including those that were repeated. */
  refusedAttempts: number;
  /** All other outcomes. */
  failed: number;
  /** Those in time or late that a target in another data centre answered. */
  remote: number;
  /** Those that took over half of the objective to reach a first target, or never did. */
  slowToTarget: number;
  /** Offers that gates refused. */
  refusedOffers: number;
}
