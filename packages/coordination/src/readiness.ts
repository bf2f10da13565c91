/**
 * Decides when a daemon may serve. A new process has no persistent state, so it
 * first learns from peers or the store the minimum version it must serve. A
 * process that was paused verifies its version again.
 */

import type {InstanceId} from '@cassiaknot/inventory';

export interface ReadinessOptions {
  /** Peers that must respond before serving, if that many are known. */
  readonly requiredPeers: number;
}

/** Versions of the configuration replica of this process. */
export interface ReplicaVersions {
  readonly installedVersion: number;
  readonly tipVersion: number;
}

type ReadinessState = 'joining' | 'ready' | 'verifying';

/** Tracks responses from peers and the store until the daemon may serve. */
export class Readiness {
  private state: ReadinessState = 'joining';
  private readonly respondedPeers = new Set<InstanceId>();
  private hasReadStore = false;
  private hasJoinTimedOut = false;
  private livePeerCount = 0;
  private hasResponseSincePause = false;
  /** Highest version that this instance has reported, according to peers. */
  private floorVersion = 0;
  /** Highest version that a peer or the store has announced. */
  private announcedVersion = 0;
  private versions: ReplicaVersions = {installedVersion: 0, tipVersion: 0};
  private waiters: Array<() => void> = [];

  constructor(
    private readonly options: ReadinessOptions,
    private readonly onReady: () => void,
  ) {}

  /** Whether requests may be routed. */
  isReady(): boolean {
    return this.state === 'ready';
  }

  /** Whether this process was ready and is now verifying its version. */
  isVerifying(): boolean {
    return this.state === 'verifying';
  }

  /** Resolves when requests may be routed. */
  whenReady(): Promise<void> {
    if (this.isReady()) return Promise.resolve();
    return new Promise(resolve => this.waiters.push(resolve));
  }

  /** Records the welcome message of a peer. */
  recordPeerWelcome(
    peerId: InstanceId,
    floorVersion: number,
    tipVersion: number,
  ): void {
    this.respondedPeers.add(peerId);
    this.hasResponseSincePause = true;
    this.floorVersion = Math.max(this.floorVersion, floorVersion);
    this.announcedVersion = Math.max(this.announcedVersion, tipVersion);
    this.update();
  }

  /** Records the version of the store's head. */
  recordStoreHead(version: number): void {
    this.hasReadStore = true;
    this.announcedVersion = Math.max(this.announcedVersion, version);
    this.hasResponseSincePause = true;
    this.update();
  }

  recordReplicaVersions(versions: ReplicaVersions): void {
    this.versions = versions;
    this.update();
  }

  /** Records the number of live peers known in this data centre. */
  recordLivePeers(count: number): void {
    this.livePeerCount = count;
    this.update();
  }

  /** Ends the wait for several peers; one source suffices from now on. */
  expireJoinTimeout(): void {
    this.hasJoinTimedOut = true;
    this.update();
  }

  /** Suspends serving after a pause until a peer or the store has responded. */
  beginVerifying(): void {
    if (this.state !== 'ready') return;
    this.state = 'verifying';
    this.hasResponseSincePause = false;
  }

  /** Records a version reported by a peer during verification. */
  confirmVersion(version: number): void {
    this.announcedVersion = Math.max(this.announcedVersion, version);
    this.hasResponseSincePause = true;
    this.update();
  }

  /** Resumes serving without a response: the verification has timed out. */
  endVerifying(): void {
    if (this.state === 'verifying') this.becomeReady();
  }

  private update(): void {
    if (this.state === 'ready') return;
    if (!this.hasEnoughResponses()) return;
    if (this.versions.installedVersion < this.floorVersion) return;
    if (this.versions.tipVersion < this.announcedVersion) return;
    this.becomeReady();
  }

  private hasEnoughResponses(): boolean {
    if (this.state === 'verifying') return this.hasResponseSincePause;
    const requiredCount = Math.min(
      this.options.requiredPeers,
      this.livePeerCount,
    );
    const hasRequiredPeers = this.respondedPeers.size >= requiredCount;
    // No member holds a version newer than the store, so a read of the store
    // replaces the responses of peers.
    if (this.hasReadStore) return true;
    const hasAnySource = this.respondedPeers.size > 0;
    return hasAnySource && (hasRequiredPeers || this.hasJoinTimedOut);
  }

  private becomeReady(): void {
    this.state = 'ready';
    const waiters = this.waiters;
    this.waiters = [];
    for (const resolve of waiters) resolve();
    this.onReady();
  }
}
