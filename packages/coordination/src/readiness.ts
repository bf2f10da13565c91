/**
 * Decides when a daemon may serve. A fresh process keeps nothing, so it first
 * learns from peers or the store which version it must not fall behind; a
 * process that was paused does so again.
 */

import type {InstanceId} from '@cassiaknot/inventory';

/** Bounds of a {@link Readiness}. */
export interface ReadinessOptions {
  /** Peers to hear before serving, where that many are known. */
  readonly wantedPeers: number;
}

/** Versions that this process holds. */
export interface HeldVersions {
  readonly installedVersion: number;
  readonly tipVersion: number;
}

type ReadinessState = 'joining' | 'ready' | 'verifying';

/** Collects what was heard and opens the daemon for requests. */
export class Readiness {
  private state: ReadinessState = 'joining';
  private readonly heardPeers = new Set<InstanceId>();
  private hasReadStore = false;
  private hasWaited = false;
  private livePeerCount = 0;
  private hasHeardSincePause = false;
  private floorVersion = 0;
  private announcedVersion = 0;
  private held: HeldVersions = {installedVersion: 0, tipVersion: 0};
  private waiters: Array<() => void> = [];

  constructor(
    private readonly options: ReadinessOptions,
    private readonly onReady: () => void,
  ) {}

  /** Whether requests may be routed. */
  isReady(): boolean {
    return this.state === 'ready';
  }

  /** Whether this process has been ready and verifies itself now. */
  isVerifying(): boolean {
    return this.state === 'verifying';
  }

  /** Resolves when requests may be routed. */
  whenReady(): Promise<void> {
    if (this.isReady()) return Promise.resolve();
    return new Promise(resolve => this.waiters.push(resolve));
  }

  /** Records a peer's welcome. */
  recordPeer(
    peerId: InstanceId,
    floorVersion: number,
    tipVersion: number,
  ): void {
    this.heardPeers.add(peerId);
    this.hasHeardSincePause = true;
    this.floorVersion = Math.max(this.floorVersion, floorVersion);
    this.announcedVersion = Math.max(this.announcedVersion, tipVersion);
    this.update();
  }

  /** Records the version of the store's head. */
  recordStoreHead(version: number): void {
    this.hasReadStore = true;
    this.announcedVersion = Math.max(this.announcedVersion, version);
    this.hasHeardSincePause = true;
    this.update();
  }

  /** Records the versions held now. */
  recordHeld(held: HeldVersions): void {
    this.held = held;
    this.update();
  }

  /** Records how many live peers are known in this data centre. */
  recordLivePeers(count: number): void {
    this.livePeerCount = count;
    this.update();
  }

  /** Records that the time to wait for several sources is over. */
  stopWaiting(): void {
    this.hasWaited = true;
    this.update();
  }

  /** Closes the daemon after a pause until a source has been heard. */
  beginVerifying(): void {
    if (this.state !== 'ready') return;
    this.state = 'verifying';
    this.hasHeardSincePause = false;
  }

  /** Records a source's version during verification. */
  confirm(version: number): void {
    this.announcedVersion = Math.max(this.announcedVersion, version);
    this.hasHeardSincePause = true;
    this.update();
  }

  /** Ends verification without an answer: the bound on its time has passed. */
  stopVerifying(): void {
    if (this.state === 'verifying') this.open();
  }

  private update(): void {
    if (this.state === 'ready') return;
    if (!this.hasHeardEnough()) return;
    if (this.held.installedVersion < this.floorVersion) return;
    if (this.held.tipVersion < this.announcedVersion) return;
    this.open();
  }

  private hasHeardEnough(): boolean {
    if (this.state === 'verifying') return this.hasHeardSincePause;
    const wanted = Math.min(this.options.wantedPeers, this.livePeerCount);
    const hasAllWanted = this.heardPeers.size >= wanted;
    const hasAny = this.heardPeers.size > 0 || this.hasReadStore;
    return hasAny && (hasAllWanted || this.hasWaited);
  }

  private open(): void {
    this.state = 'ready';
    const waiters = this.waiters;
    this.waiters = [];
    for (const resolve of waiters) resolve();
    this.onReady();
  }
}
