/** Options and dependencies of a {@link Coordinator}. */

import type {DataCentreId, InstanceId} from '@cassiaknot/inventory';
import type {
  GateAddress,
  PeerAddress,
  PeerTransport,
} from '@cassiaknot/peer-protocol';
import type {KeyValueStore, TokenBucketOptions} from '@cassiaknot/store';
import type {ConfigurationSource} from './configuration_source.js';
import type {RandomSource} from './random.js';

/** Identity and addresses of this member. */
export interface MemberIdentity {
  readonly instanceId: InstanceId;
  readonly dataCentreId: DataCentreId;
  readonly peerAddress: PeerAddress;
  readonly gateAddress: GateAddress;
  /** Bandwidth of the network link of this instance, if known. */
  readonly linkMbps?: number;
}

/** Topology of the overlay. */
export interface OverlayOptions {
  /** Links that each daemon dials within its data centre. */
  readonly linksPerDaemon: number;
  /** Daemons per data centre that link to other data centres. */
  readonly uplinksPerDataCentre: number;
  /** Data centres with daemons that watch the store. */
  readonly readerDataCentres: number;
  /** Daemons that watch the store in each of these, of its uplinks. */
  readonly readersPerDataCentre: number;
  /** Daemons per data centre that register a seed key in the store. */
  readonly seedsPerDataCentre: number;
  /** Peers to dial when the seeds cannot be read from the store. */
  readonly fallbackSeeds: readonly PeerAddress[];
  /** Whether changes are fetched from peers. */
  readonly fetchesFromPeers: boolean;
  readonly joinAdmission: TokenBucketOptions;
}

/** Intervals and timeouts of the control plane. */
export interface TimingOptions {
  /** Interval of the heartbeats and of the periodic checks. */
  readonly heartbeatMs: number;
  /** Time without messages after which a link is closed as dead. */
  readonly linkTimeoutMs: number;
  /** Time without a link after which a monitored member is suspected. */
  readonly suspectAfterMs: number;
  /** Time that a suspected member has to refute before it is declared dead. */
  readonly suspicionTimeoutMs: number;
  /** Time for which a daemon that lost most of its links suspects nobody. */
  readonly isolationTimeoutMs: number;
  /** Not read: a dead member is redialled until its record expires. */
  readonly redialDeadMs: number;
  /**
   * Time for which a reader waits for a version from the store before it fetches
   * the version from a peer.
   */
  readonly fetchDelayMs: number;
  /**
   * Time for which an uplink other than the first of its data centre waits for a
   * version from its own data centre before it fetches it from another one.
   */
  readonly remoteFetchDelayMs: number;
  /**
   * Time for which a daemon without any configuration waits for one from its own
   * data centre or the store before it fetches it from another data centre.
   */
  readonly remoteSnapshotDelayMs: number;
  /** Timeout of a fetch from a peer. */
  readonly fetchTimeoutMs: number;
  /** Timeout of one watch on the store. */
  readonly watchTimeoutMs: number;
  /** Minimum time between a version from the store and the next watch. */
  readonly watchPauseMs: number;
  /**
   * Time without a sign of a reader that reaches the store after which another
   * daemon reads the store itself.
   */
  readonly sourceSilenceMs: number;
  /**
   * Time after which a new process reads the store unless a peer has announced a
   * configuration.
   */
  readonly startReadDelayMs: number;
  /** The same on an instance with a link below `slowLinkMbps`. */
  readonly slowStartReadDelayMs: number;
  readonly slowLinkMbps: number;
  /**
   * Maximum random time for which a daemon that finds no seed waits for others to
   * register before it registers itself.
   */
  readonly seedElectionMs: number;
  /** Time for which a rank must be stable before a role is taken or released. */
  readonly roleSettleMs: number;
  /**
   * Time after which a response from one peer or from the store suffices for a
   * new process to serve.
   */
  readonly joinTimeoutMs: number;
  /** Maximum random delay of the first seed listing and of the join timeout. */
  readonly startJitterMs: number;
  readonly seedTtlMs: number;
  /** Interval at which uplinks list the seeds of all data centres. */
  readonly seedListIntervalMs: number;
  /**
   * Maximum time for which requests are held for verification after a pause.
   */
  readonly verifyTimeoutMs: number;
  /** Time over which membership updates are batched into one message. */
  readonly gossipBatchMs: number;
  /** Time without a link after which a data centre is reported unreachable. */
  readonly unreachableAfterMs: number;
  /** Minimum time between two membership repairs that a daemon starts. */
  readonly minRepairIntervalMs: number;
}

/** Overlay defaults for fleets of the size this project targets. */
export const DEFAULT_OVERLAY: OverlayOptions = {
  linksPerDaemon: 2,
  uplinksPerDataCentre: 2,
  readerDataCentres: Infinity,
  readersPerDataCentre: 2,
  seedsPerDataCentre: 3,
  fallbackSeeds: [],
  fetchesFromPeers: true,
  joinAdmission: {ratePerSecond: 50, burst: 50},
};

/** Timing defaults for fleets of the size this project targets. */
export const DEFAULT_TIMING: TimingOptions = {
  heartbeatMs: 2_000,
  linkTimeoutMs: 6_500,
  suspectAfterMs: 2_000,
  suspicionTimeoutMs: 3_000,
  isolationTimeoutMs: 10_000,
  redialDeadMs: 600_000,
  fetchDelayMs: 0,
  remoteFetchDelayMs: 0,
  remoteSnapshotDelayMs: 0,
  fetchTimeoutMs: 400,
  watchTimeoutMs: 5_000,
  watchPauseMs: 0,
  sourceSilenceMs: 5_000,
  startReadDelayMs: 5_000,
  slowStartReadDelayMs: 5_000,
  slowLinkMbps: 0,
  seedElectionMs: 0,
  roleSettleMs: 0,
  joinTimeoutMs: 5_000,
  startJitterMs: 1_000,
  seedTtlMs: 30_000,
  seedListIntervalMs: 30_000,
  verifyTimeoutMs: 1_000,
  gossipBatchMs: 100,
  minRepairIntervalMs: 3_000,
  unreachableAfterMs: 10_000,
};

/** Severity of a log line. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Receives log messages and events. */
export interface CoordinatorObserver {
  /** Logs a message of a component. */
  log(
    level: LogLevel,
    component: string,
    message: string,
    fields?: Readonly<Record<string, number>>,
  ): void;
  count(event: CoordinationEvent): void;
}

/** Events of the control plane that are counted. */
export type CoordinationEvent =
  | 'link-opened'
  | 'link-lost'
  | 'link-silent'
  | 'join-refused'
  | 'fetch-sent'
  | 'fetch-timeout'
  | 'version-installed'
  | 'version-skipped'
  | 'digest-mismatch'
  | 'invalid-changes'
  | 'store-read-failed'
  | 'store-restored'
  | 'watch-silent'
  | 'source-silent'
  | 'seed-unusable'
  | 'member-suspected'
  | 'member-buried'
  | 'suspicion-refuted'
  | 'self-doubt'
  | 'members-repaired'
  | 'repair-postponed'
  | 'pause-noticed'
  | 'pause-verified'
  | 'pause-unverified';

export interface CoordinatorOptions {
  readonly identity: MemberIdentity;
  readonly overlay: OverlayOptions;
  readonly timing: TimingOptions;
  readonly transport: PeerTransport;
  readonly store: KeyValueStore;
  /** Source from which readers obtain the configuration. */
  readonly source: ConfigurationSource;
  readonly random: RandomSource;
  readonly observer: CoordinatorObserver;
  /** Called when an actor throws, which means a broken invariant. */
  readonly onFatal: (error: Error) => void;
}
