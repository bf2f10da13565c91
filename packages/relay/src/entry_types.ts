/** Types shared by the entry and the requests that it routes. */

import type {PublishedConfiguration} from '@cassiaknot/coordination';
import type {RuleId, ServiceId, WorkspaceRecord} from '@cassiaknot/inventory';
import type {
  KeyedEwma,
  ServiceLoad,
  SlidingRetryBudget,
} from '@cassiaknot/routing';
import type {GateDirectory} from './gate_directory.js';
import type {LogFields, RelayObserver} from './observer.js';

/** A request received from a caller, with its complete body. */
export interface CallerRequest {
  readonly requestId: string;
  readonly method: string;
  /** Lower-case host without the port. */
  readonly host: string;
  /** Path with query string. */
  readonly path: string;
  /** Headers to forward, as alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Key of the caller's workspace, which must not be logged or forwarded. */
  readonly key?: string | undefined;
  /** Timeout requested by the caller, counted from `receivedAtMs`. */
  readonly timeoutMs: number | undefined;
  readonly receivedAtMs: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Time by which the response must be sent; `Infinity` unless the process stops. */
  readonly serveUntilMs: number;
}

/** Dependencies of a {@link RelayEntry}. */
export interface RelayEntryOptions {
  readonly getConfiguration: () => PublishedConfiguration;
  /** Whether a newer version of the configuration is known, but not held yet. */
  readonly hasNewerVersion: () => boolean;
  /**
   * Whether the current configuration may be used for routing; resolves once a
   * running version check has finished.
   */
  readonly mayRoute: () => boolean | Promise<boolean>;
  /**
   * Lower-case names of headers that are not forwarded where the configuration has
   * workspaces.
   */
  readonly workspaceRequestHeaders: ReadonlySet<string>;
  readonly directory: GateDirectory;
  readonly retryBudget: SlidingRetryBudget<ServiceId>;
  /** Number of members that share the allowance of the retry budget. */
  readonly getMemberCount: () => number;
  /** Service to which requests from this machine are attributed. */
  readonly getCallerServiceId: () => string;
  readonly observer: RelayObserver;
  readonly random: () => number;
  /** Enforces the limits of workspaces; without it there are none. */
  readonly quotaGate?: QuotaGate;
}

/** Routing parameters of one request, with defaults applied. */
export interface RoutePlan {
  readonly ruleId: RuleId;
  readonly serviceId: ServiceId;
  readonly isIdempotent: boolean;
  readonly timeoutMs: number;
  readonly objectiveMs: number;
  readonly maxAttempts: number;
  readonly urgency: number;
  /** Workspace of the caller; undefined if the request carries no known key. */
  readonly workspace: WorkspaceRecord | undefined;
  readonly version: number;
}

/** Whether the quota of a workspace has room for a request. */
export type QuotaAdmission =
  | {
      readonly isAdmitted: true;
      /** When the permit expires; undefined without a limit. */
      readonly permitExpiresAtMs?: number;
    }
  | {
      readonly isAdmitted: false;
      readonly retryAfterMs: number;
      /** Fields that explain the refusal, for its log line. */
      readonly details?: LogFields;
    };

/** Enforces the quotas of workspaces over all instances. */
export interface QuotaGate {
  /** Takes a permit for one request of a workspace. */
  acquire(
    workspace: WorkspaceRecord,
    nowMs: number,
  ): QuotaAdmission | Promise<QuotaAdmission>;
  /** Returns the permit of a request that was certainly not run. */
  release(
    workspace: WorkspaceRecord,
    permitExpiresAtMs: number,
    nowMs: number,
  ): void;
}

/** Admits all requests. */
export const NO_QUOTAS: QuotaGate = {
  acquire: () => ({isAdmitted: true}),
  release: () => undefined,
};

/** State shared by all requests of one entry. */
export interface EntryContext {
  readonly options: RelayEntryOptions;
  /** Mean run time of each route over all targets. */
  readonly runTimes: KeyedEwma<RuleId>;
  /** Returns the mean load of the targets of a service. */
  getServiceLoad(serviceId: ServiceId): ServiceLoad<RuleId>;
}
