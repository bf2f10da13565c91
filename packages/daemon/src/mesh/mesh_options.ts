/** Options and tuning parameters of a mesh daemon. */

import type {
  ConfigurationSource,
  MemberIdentity,
  OverlayOptions,
  TimingOptions,
} from '@cassiaknot/coordination';
import type {PeerAddress} from '@cassiaknot/peer-protocol';
import type {HeaderCodec, TargetAnnouncement} from '@cassiaknot/relay';
import type {QuotaBounds, SlidingRetryBudgetOptions} from '@cassiaknot/routing';
import type {KeyValueStore} from '@cassiaknot/store';
import type {DecisionLog} from './decision_log.js';

/** An address to listen on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Settings and dependencies of a mesh daemon. */
export interface MeshDaemonOptions {
  readonly identity: MemberIdentity;
  /** Listen address for the callers on this instance. */
  readonly callerAddress: ListenAddress;
  readonly metricsAddress: ListenAddress;
  readonly fallbackSeeds: readonly PeerAddress[];
  readonly store: KeyValueStore;
  readonly newSource: (store: KeyValueStore) => ConfigurationSource;
  /** Reads and writes the HTTP headers of the platform. */
  readonly headerCodec: HeaderCodec;
  readonly retryBudget: SlidingRetryBudgetOptions;
  /** Accuracy of the quotas of workspaces; without it there are none. */
  readonly quotaBounds?: QuotaBounds;
  /** Time from the stop signal until the platform kills the process. */
  readonly shutdownGracePeriodMs: number;
  /** Address of the local target; it may change at run time. */
  readonly getTargetAddress: () => string;
  /** Service to which requests from callers on this instance are attributed. */
  readonly getCallerServiceId: () => string;
  /** Queries the local target for its identity. */
  readonly discoverTarget: (
    healthPath: string,
  ) => Promise<TargetAnnouncement | undefined>;
  readonly log: DecisionLog;
  /** Number of log lines dropped because the output was read too slowly. */
  readonly getDroppedLogLineCount: () => number;
  /** Called when an invariant is violated; the process must exit. */
  readonly onFatal: (error: Error) => void;
}

/** Peer overlay for a mesh in which every member carries traffic. */
export const MESH_OVERLAY: OverlayOptions = {
  linksPerDaemon: 2,
  uplinksPerDataCentre: 2,
  // Two readers in different data centres. The others receive versions over the
  // overlay, and read the store themselves if they hear of no working reader.
  readerDataCentres: 2,
  readersPerDataCentre: 1,
  seedsPerDataCentre: 2,
  fallbackSeeds: [],
  fetchesFromPeers: true,
  joinAdmission: {ratePerSecond: 100, burst: 100},
};

/** Timing that lets a configuration change take effect within two seconds. */
export const MESH_TIMING: TimingOptions = {
  heartbeatMs: 1_000,
  linkTimeoutMs: 3_200,
  suspectAfterMs: 1_000,
  suspicionTimeoutMs: 2_000,
  isolationTimeoutMs: 5_000,
  redialDeadMs: 600_000,
  // Readers receive a change from the store within tens of milliseconds; sending
  // it between data centres costs more than this delay.
  fetchDelayMs: 250,
  remoteFetchDelayMs: 150,
  remoteSnapshotDelayMs: 300,
  // Covers a configuration on its way over a slow link that others share.
  fetchTimeoutMs: 800,
  // Probes find a watch on a silent connection sooner, unless the revisions that
  // they read are too old.
  watchTimeoutMs: 4_000,
  // Merges the versions of a storm of changes.
  watchPauseMs: 400,
  // Readers give a sign of life each heartbeat. With the stagger between daemons
  // and the read itself, a change is in force within two seconds.
  sourceSilenceMs: 1_300,
  // Peers that hold a configuration supply it sooner.
  startReadDelayMs: 200,
  // A document takes longer than this on a slow link, so that an instance with a
  // fast one can supply it meanwhile.
  slowStartReadDelayMs: 700,
  slowLinkMbps: 30,
  seedElectionMs: 1_500,
  roleSettleMs: 1_000,
  joinTimeoutMs: 1_000,
  startJitterMs: 30,
  seedTtlMs: 12_000,
  seedListIntervalMs: 10_000,
  verifyTimeoutMs: 500,
  gossipBatchMs: 30,
  minRepairIntervalMs: 1_000,
  unreachableAfterMs: 4_000,
};

/** Limit on a member's store calls; the burst covers start and recovery. */
export const STORE_CALL_LIMIT = {ratePerSecond: 8, burst: 40};
