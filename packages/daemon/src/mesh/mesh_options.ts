/** What a mesh daemon is built from. */

import type {
  ConfigurationSource,
  MemberIdentity,
  OverlayOptions,
  TimingOptions,
} from '@cassiaknot/coordination';
import type {PeerAddress} from '@cassiaknot/peer-protocol';
import type {Dialect, TargetAnnouncement} from '@cassiaknot/relay';
import type {RetryWindowOptions} from '@cassiaknot/routing';
import type {KeyValueStore} from '@cassiaknot/store';
import type {DecisionLog} from './decision_log.js';

/** An address to listen on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Settings and collaborators of a mesh daemon. */
export interface MeshDaemonOptions {
  readonly identity: MemberIdentity;
  /** Where callers of this machine send their requests. */
  readonly callerAddress: ListenAddress;
  readonly metricsAddress: ListenAddress;
  readonly fallbackSeeds: readonly PeerAddress[];
  readonly store: KeyValueStore;
  readonly newSource: (store: KeyValueStore) => ConfigurationSource;
  readonly dialect: Dialect;
  readonly retryWindow: RetryWindowOptions;
  /** Time from the request to stop until the process is ended. */
  readonly stopGraceMs: number;
  /** Address of the target of this slot; it may change while running. */
  readonly getTargetAddress: () => string;
  /** Service in whose name requests from this machine are made. */
  readonly getCallerServiceId: () => string;
  /** Asks the target beside this process who it is. */
  readonly identifyTarget: (
    healthPath: string,
  ) => Promise<TargetAnnouncement | undefined>;
  readonly log: DecisionLog;
  /** Log lines left out because nobody read the output. */
  readonly getDroppedLogLines: () => number;
  /** Called when an invariant is broken; the process has to end. */
  readonly onFatal: (error: Error) => void;
}

/** Overlay of a fleet whose members all carry traffic. */
export const MESH_OVERLAY: OverlayOptions = {
  linksPerDaemon: 2,
  // A member learns of silent readers only after seconds. With eight, all members
  // of a small data centre read, and nobody depends on a peer there.
  readersPerDataCentre: 8,
  seedsPerDataCentre: 3,
  fallbackSeeds: [],
  learnsFromPeers: true,
  joinAdmission: {ratePerSecond: 100, burst: 100},
  readsStoreAtStart: true,
};

/** Timing for changes that have to be in force within two seconds. */
export const MESH_TIMING: TimingOptions = {
  heartbeatMs: 1_000,
  linkSilenceMs: 3_200,
  suspectAfterMs: 1_000,
  buryAfterMs: 2_000,
  selfDoubtMs: 5_000,
  redialDeadMs: 600_000,
  // Readers hear of a change from the store within tens of milliseconds; a
  // document between data centres costs more than the wait.
  fetchDelayMs: 250,
  fetchTimeoutMs: 300,
  // A connection to the store that went silent is noticed within this time.
  watchTimeoutMs: 4_000,
  joinTimeoutMs: 1_000,
  startJitterMs: 30,
  seedTtlMs: 12_000,
  seedListMs: 10_000,
  verifyTimeoutMs: 500,
  gossipDelayMs: 30,
  repairGapMs: 1_000,
  unreachableAfterMs: 4_000,
};

/** Store calls per second of one member; a burst covers start and recovery. */
export const STORE_CALLS = {ratePerSecond: 8, burst: 40};
