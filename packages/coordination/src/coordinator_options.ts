/** Settings and collaborators of a {@link Coordinator}. */

import type {DataCentreId, InstanceId} from '@cassiaknot/inventory';
import type {
  GateAddress,
  PeerAddress,
  PeerTransport,
} from '@cassiaknot/peer-protocol';
import type {KeyValueStore, TokenBucketOptions} from '@cassiaknot/store';
import type {ConfigurationSource} from './configuration_source.js';
import type {RandomSource} from './random.js';

/** Who this process is. */
export interface MemberIdentity {
  readonly instanceId: InstanceId;
  readonly dataCentreId: DataCentreId;
  readonly peerAddress: PeerAddress;
  readonly gateAddress: GateAddress;
}

/** Shape of the overlay. */
export interface OverlayOptions {
  /** Links that each daemon dials within its data centre. */
  readonly linksPerDaemon: number;
  /** Daemons per data centre that watch the store. */
  readonly readersPerDataCentre: number;
  /** Daemons per data centre that keep a seed key in the store. */
  readonly seedsPerDataCentre: number;
  /** Peers to dial when the store can't name any. */
  readonly fallbackSeeds: readonly PeerAddress[];
  /** Whether changes are taken from peers at all. */
  readonly learnsFromPeers: boolean;
  readonly joinAdmission: TokenBucketOptions;
  /** Whether a fresh process reads the store at once, not only as reader. */
  readonly readsStoreAtStart: boolean;
}

/** Periods and time limits of the control plane. */
export interface TimingOptions {
  readonly heartbeatMs: number;
  /** Silence after which a link is taken for dead. */
  readonly linkSilenceMs: number;
  /** Time without any link to a watched member before it is suspected. */
  readonly suspectAfterMs: number;
  /** Time a suspected member has to refute. */
  readonly buryAfterMs: number;
  /** Time a daemon that lost most of its links suspects nobody. */
  readonly selfDoubtMs: number;
  /** Time for which a dead member is redialled. */
  readonly redialDeadMs: number;
  /** Time to wait for the store's own word before a peer is asked. */
  readonly fetchDelayMs: number;
  /** Time a peer has to send the changes it was asked for. */
  readonly fetchTimeoutMs: number;
  /** Time limit of one watch on the store. */
  readonly watchTimeoutMs: number;
  /** Time to wait for several sources before serving on one. */
  readonly joinTimeoutMs: number;
  /** Random delay before the first call to the store. */
  readonly startJitterMs: number;
  readonly seedTtlMs: number;
  /** Period at which readers list the seeds of all data centres. */
  readonly seedListMs: number;
  /** Time a daemon holds requests while it verifies itself after a pause. */
  readonly verifyTimeoutMs: number;
  /** Delay over which member news is gathered into one message. */
  readonly gossipDelayMs: number;
  /** Time without a link after which a data centre is called unreachable. */
  readonly unreachableAfterMs: number;
  /** Least time between two comparisons of tables that a daemon begins. */
  readonly repairGapMs: number;
}

/** Overlay of the size that the project is built for. */
export const DEFAULT_OVERLAY: OverlayOptions = {
  linksPerDaemon: 2,
  readersPerDataCentre: 2,
  seedsPerDataCentre: 3,
  fallbackSeeds: [],
  learnsFromPeers: true,
  joinAdmission: {ratePerSecond: 50, burst: 50},
  readsStoreAtStart: false,
};

/** Timing of the size that the project is built for. */
export const DEFAULT_TIMING: TimingOptions = {
  heartbeatMs: 2_000,
  linkSilenceMs: 6_500,
  suspectAfterMs: 2_000,
  buryAfterMs: 3_000,
  selfDoubtMs: 10_000,
  redialDeadMs: 600_000,
  fetchDelayMs: 0,
  fetchTimeoutMs: 400,
  watchTimeoutMs: 30_000,
  joinTimeoutMs: 5_000,
  startJitterMs: 1_000,
  seedTtlMs: 30_000,
  seedListMs: 30_000,
  verifyTimeoutMs: 1_000,
  gossipDelayMs: 100,
  repairGapMs: 3_000,
  unreachableAfterMs: 10_000,
};

/** Severity of a log line. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Receives what happens, for logs and counters. */
export interface CoordinatorObserver {
  /** Part that speaks, then a short sentence. */
  log(level: LogLevel, part: string, message: string): void;
  /** Counts an event of the control plane. */
  count(event: CoordinationEvent): void;
}

/** Events that are counted. */
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
  | 'store-read-failed'
  | 'member-suspected'
  | 'member-buried'
  | 'suspicion-refuted'
  | 'self-doubt'
  | 'members-repaired'
  | 'repair-postponed'
  | 'pause-noticed'
  | 'pause-verified'
  | 'pause-unverified';

/** Everything a coordinator is built from. */
export interface CoordinatorOptions {
  readonly identity: MemberIdentity;
  readonly overlay: OverlayOptions;
  readonly timing: TimingOptions;
  readonly transport: PeerTransport;
  readonly store: KeyValueStore;
  /** Where readers learn the configuration from. */
  readonly source: ConfigurationSource;
  readonly random: RandomSource;
  readonly observer: CoordinatorObserver;
  /** Called when an actor fails: a broken invariant. */
  readonly onFatal: (error: Error) => void;
}
