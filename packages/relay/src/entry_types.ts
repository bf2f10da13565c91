/** Types that the entry and its requests share. */

import type {PublishedConfiguration} from '@cassiaknot/coordination';
import type {RuleId, ServiceId} from '@cassiaknot/inventory';
import type {RetryWindow, SmoothedMeans} from '@cassiaknot/routing';
import type {GateDirectory} from './gate_directory.js';
import type {RelayObserver} from './observer.js';

/** A request as a caller made it, with its whole body. */
export interface CallerRequest {
  readonly requestId: string;
  readonly method: string;
  /** Host without the port, in lower case. */
  readonly host: string;
  /** Path and query. */
  readonly path: string;
  /** Alternating names and values that are passed on. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Time that the caller waits, from `receivedAtMs` on. */
  readonly deadlineMs: number | undefined;
  readonly receivedAtMs: number;
  /** Aborted when the caller leaves. */
  readonly signal: AbortSignal;
}

/** Collaborators of an {@link Entry}. */
export interface EntryOptions {
  readonly getConfiguration: () => PublishedConfiguration;
  /** Whether the configuration may be routed by; waits during a check. */
  readonly mayRoute: () => boolean | Promise<boolean>;
  readonly directory: GateDirectory;
  readonly retryWindow: RetryWindow<ServiceId>;
  readonly getMemberCount: () => number;
  /** Service on whose behalf requests from this machine are made. */
  readonly getCallerServiceId: () => string;
  readonly observer: RelayObserver;
  readonly random: () => number;
}

/** How one route is served; defaults are filled in. */
export interface RoutePlan {
  readonly ruleId: RuleId;
  readonly serviceId: ServiceId;
  readonly isIdempotent: boolean;
  readonly timeoutMs: number;
  readonly objectiveMs: number;
  readonly maxAttempts: number;
  readonly urgency: number;
  readonly version: number;
}

/** What the requests of one entry share. */
export interface EntryContext {
  readonly options: EntryOptions;
  /** Run times by route over all targets. */
  readonly usualRuns: SmoothedMeans<RuleId>;
}
