/**
 * Owns the configuration replica: applies changes from the store or from peers,
 * publishes the result and announces new versions to the peers.
 */

import type {ConfigurationState} from '@cassiaknot/inventory';
import type {
  PeerMessage,
  PeerMessageOf,
  VersionDigest,
} from '@cassiaknot/peer-protocol';
import {validateChanges} from '@cassiaknot/peer-protocol';
import type {ApplyOutcome} from '../config_replica.js';
import {ConfigReplica, getPreviousVersion} from '../config_replica.js';
import {digestBuckets, replaceBuckets} from '../record_buckets.js';
import type {LinkId, ReplicaMessage} from './actor_messages.js';
import type {MessageHandler} from './actor_support.js';
import type {AnnouncedTip} from './announced_tips.js';
import {AnnouncedTips} from './announced_tips.js';
import type {ControlContext} from './control_context.js';
import type {KnownReply} from './version_supplier.js';
import {VersionSupplier} from './version_supplier.js';

const COMPONENT = 'replica';
/** Records up to which a change is sent along with the announcement of its version. */
const MAX_ANNOUNCED_RECORDS = 16;
/**
 * Time for which a peer that holds a version is not asked for it while another one is about to
 * send it.
 */
const EXPECTED_REPLY_MS = 400;

interface PendingFetch {
  readonly linkId: LinkId;
  readonly number: number;
  readonly timer: NodeJS.Timeout;
  /** Whether the peer did not hold the version yet when it was asked. */
  readonly isExpected: boolean;
}

/** Keeps the configuration replica up to date, with one fetch at a time. */
export class ReplicaActor implements MessageHandler<ReplicaMessage> {
  private readonly replica = new ConfigReplica();
  private readonly announcedTips = new AnnouncedTips();
  private pendingFetch: PendingFetch | undefined;
  /**
   * Own states whose bucket digests the requests to each peer contain, until their replies
   * have arrived; these can be later than the timeout of the fetch.
   */
  private readonly requestedBases = new Map<LinkId, ConfigurationState[]>();
  private lastFetchNumber = 0;
  private needsSnapshot = false;
  /**
   * Newest version that this process has announced as expected. From then on its peers can wait
   * for that version, so that it asks only peers that hold it: nobody waits in a circle.
   */
  private expectedVersion = 0;
  private fetchTimer: NodeJS.Timeout | undefined;
  private readonly supplier: VersionSupplier;

  constructor(private readonly context: ControlContext) {
    this.supplier = new VersionSupplier(this.replica, (linkId, message) =>
      this.send(linkId, message),
    );
  }

  handle(message: ReplicaMessage): void {
    switch (message.kind) {
      case 'peer-tip':
        this.receiveTip(message);
        return;
      case 'peer-message':
        this.receivePeerMessage(message.linkId, message.message);
        return;
      case 'passed-on':
        this.applyPeerChanges(message.linkId, message.message);
        return;
      case 'peer-disconnected':
        this.removePeer(message.linkId);
        return;
      case 'store-catch-up':
        this.applyCatchUp(message.catchUp);
        return;
      case 'fetch-due':
        this.fetchTimer = undefined;
        this.fetchNext();
        return;
      case 'fetch-timeout':
        this.expireFetch(message.fetchNumber);
        return;
      case 'start-read-due':
        this.readUnlessAnnounced();
        return;
    }
  }

  private receiveTip(
    message: Extract<ReplicaMessage, {kind: 'peer-tip'}>,
  ): void {
    if (!this.context.options.overlay.fetchesFromPeers) return;
    const {linkId, tip, hops, change} = message;
    const ownTip = this.replica.getTip();
    if (tip.version === ownTip.version && tip.digest !== ownTip.digest) {
      this.reportMismatch(tip.version);
    }
    if (tip.version <= ownTip.version) return;
    this.context.versionTrace.recordAnnouncement(tip.version, hops);
    this.context.published.publishAnnouncedVersion(tip.version);
    this.announcedTips.record(this.newAnnouncedTip(message), ownTip.version);
    if (change && getPreviousVersion(change) === ownTip.version) {
      const outcome = this.replica.applyChanges([change]);
      this.handleApplyOutcome(linkId, outcome);
      return;
    }
    this.fetchNext();
  }

  private newAnnouncedTip(
    message: Extract<ReplicaMessage, {kind: 'peer-tip'}>,
  ): AnnouncedTip {
    const {linkId, tip, isRemote, isExpected} = message;
    const isAwaited = this.pendingFetch?.isExpected === true && !isExpected;
    const delayMs = Math.max(
      this.getFetchDelayMs(isRemote),
      isAwaited ? EXPECTED_REPLY_MS : 0,
    );
    const dueAtMs = performance.now() + delayMs;
    const firstVersion = tip.version;
    return {linkId, tip, isRemote, isExpected, firstVersion, dueAtMs};
  }

  private getFetchDelayMs(isRemote: boolean): number {
    const {fetchDelayMs, remoteFetchDelayMs, remoteSnapshotDelayMs} =
      this.context.options.timing;
    // A process without any configuration cannot serve, so it does not wait for
    // the store, but a whole configuration should not cross data centres.
    if (this.replica.getTip().version === 0) {
      return isRemote ? remoteSnapshotDelayMs : 0;
    }
    const plan = this.context.published.getPlan();
    if (plan?.isReader === true) return fetchDelayMs;
    const isFirstUplink = plan?.readerRank === 0;
    return isRemote && !isFirstUplink ? remoteFetchDelayMs : 0;
  }

  private receivePeerMessage(
    linkId: LinkId,
    message: PeerMessageOf<'get-changes' | 'changes' | 'snapshot'>,
  ): void {
    switch (message.kind) {
      case 'get-changes':
        this.supplier.receive(linkId, message);
        return;
      case 'changes':
        this.context.versionTrace.recordReply();
        if (this.supplier.passOn(message)) {
          // Applied in a later turn, so that the peers receive it before.
          const passedOn = {kind: 'passed-on', linkId, message} as const;
          this.context.directory.replica.send(passedOn);
          return;
        }
        this.applyPeerChanges(linkId, message);
        return;
      case 'snapshot':
        this.context.versionTrace.recordReply();
        this.applyPeerSnapshot(linkId, message);
        return;
    }
  }

  private applyPeerChanges(
    linkId: LinkId,
    message: PeerMessageOf<'changes'>,
  ): void {
    this.requestedBases.get(linkId)?.shift();
    this.completeFetch(linkId);
    const validated = validateChanges(message);
    if (validated.isErr()) {
      this.reportInvalid(linkId, validated.error);
      return;
    }
    const {version} = this.replica.getTip();
    const outcome = this.replica.applyChanges(validated.value);
    const first = message.changes.at(0);
    const last = message.changes.at(-1);
    const isComplete =
      first !== undefined &&
      getPreviousVersion(first) === version &&
      last?.version === this.replica.getTip().version;
    this.handleApplyOutcome(
      linkId,
      outcome,
      isComplete ? {sinceVersion: version, message} : undefined,
    );
  }

  private applyPeerSnapshot(
    linkId: LinkId,
    message: PeerMessageOf<'snapshot'>,
  ): void {
    const {version, digest, records, buckets} = message;
    const base = this.requestedBases.get(linkId)?.[0];
    if (buckets && !base) return;
    const complete =
      buckets && base ? replaceBuckets(base, buckets, records) : records;
    const snapshot = {version, digest, records: complete};
    this.handleApplyOutcome(linkId, this.replica.applySnapshot(snapshot));
  }

  private applyCatchUp(
    catchUp: Extract<ReplicaMessage, {kind: 'store-catch-up'}>['catchUp'],
  ): void {
    if (catchUp.snapshot) {
      this.handleApplyOutcome(
        undefined,
        this.replica.applySnapshot(catchUp.snapshot),
      );
    }
    this.handleApplyOutcome(
      undefined,
      this.replica.applyChanges(catchUp.changes),
    );
  }

  private handleApplyOutcome(
    linkId: LinkId | undefined,
    outcome: ApplyOutcome,
    reply?: KnownReply,
  ): void {
    switch (outcome.kind) {
      case 'advanced':
        this.needsSnapshot = false;
        this.publish(linkId, outcome.isInstalled);
        this.supplier.handleNewVersion(reply);
        break;
      case 'gap':
        this.needsSnapshot = true;
        break;
      case 'digest-mismatch':
        this.needsSnapshot = true;
        this.reportMismatch(outcome.version);
        if (linkId) this.announcedTips.remove(linkId);
        break;
      case 'stale':
        break;
    }
    this.fetchNext();
  }

  private publish(fromLinkId: LinkId | undefined, isInstalled: boolean): void {
    const {directory, options, published, readiness} = this.context;
    const {sourceFreshness, versionTrace} = this.context;
    // A new daemon gives the readers time before it takes them for failed.
    if (published.getTip().version === 0) {
      sourceFreshness.restartSilence(performance.now());
    }
    const installed = this.replica.getInstalled();
    const tip = this.replica.getTip();
    const skipped = this.replica.getSkipped();
    const {version} = tip;
    const trace = versionTrace.finish(version, fromLinkId !== undefined);
    const compileStartMs = performance.now();
    published.publishConfiguration(installed);
    const compileMs = Math.round(performance.now() - compileStartMs);
    published.publishTip(tip, skipped);
    options.observer.count(
      isInstalled ? 'version-installed' : 'version-skipped',
    );
    if (isInstalled) {
      const message = `Version ${installed.version} is in force.`;
      const fields = {version, records: installed.records.size, compileMs};
      options.observer.log('info', COMPONENT, message, {...trace, ...fields});
    }
    if (skipped) {
      const {length} = skipped.problems;
      const message = `Skipped version ${tip.version}: ${length} validation problems.`;
      options.observer.log('error', COMPONENT, message);
    }
    readiness.recordReplicaVersions({
      installedVersion: installed.version,
      tipVersion: tip.version,
    });
    directory.links.send({
      kind: 'broadcast',
      message: {
        kind: 'announce',
        tip,
        hops: trace.hops,
        ...this.getSmallChange(),
      },
      excludedLinkId: fromLinkId,
    });
  }

  // The change to the newest version, if it is small enough to be sent unasked.
  private getSmallChange(): Pick<PeerMessageOf<'announce'>, 'change'> {
    const change = this.replica.getLastChange();
    if (!change) return {};
    const {puts, removes} = change.change;
    const isSmall = puts.length + removes.length <= MAX_ANNOUNCED_RECORDS;
    return isSmall ? {change} : {};
  }

  // Peers that hold the configuration announce it in the handshake and supply it
  // faster than the store. If none does, or the peer fails, the store is read.
  private readUnlessAnnounced(): void {
    if (this.replica.getTip().version > 0) return;
    const {directory, options} = this.context;
    if (!this.pendingFetch) {
      directory.reader.send({kind: 'read-if-empty'});
      return;
    }
    setTimeout(
      () => directory.replica.send({kind: 'start-read-due'}),
      options.timing.startReadDelayMs,
    );
  }

  /** Fetches the newest version whose delay has passed. */
  private fetchNext(): void {
    const {pendingFetch} = this;
    // A request that waits for a version does not hold up one that can be answered.
    if (pendingFetch && !pendingFetch.isExpected) return;
    const nowMs = performance.now();
    const {supplier, nextDueAtMs} = this.announcedTips.choose(
      this.replica.getTip().version,
      pendingFetch ? Infinity : this.expectedVersion,
      nowMs,
    );
    if (supplier) this.startFetch(supplier);
    else if (nextDueAtMs < Infinity) this.scheduleFetch(nextDueAtMs - nowMs);
  }

  private scheduleFetch(delayMs: number): void {
    clearTimeout(this.fetchTimer);
    const {replica} = this.context.directory;
    this.fetchTimer = setTimeout(
      () => replica.send({kind: 'fetch-due'}),
      delayMs,
    );
  }

  private startFetch({linkId, tip, isExpected}: AnnouncedTip): void {
    clearTimeout(this.pendingFetch?.timer);
    this.lastFetchNumber += 1;
    const number = this.lastFetchNumber;
    const {fetchTimeoutMs} = this.context.options.timing;
    const {replica} = this.context.directory;
    const timer = setTimeout(
      () => replica.send({kind: 'fetch-timeout', fetchNumber: number}),
      fetchTimeoutMs,
    );
    const base = this.replica.getTipState();
    this.pendingFetch = {linkId, number, timer, isExpected};
    const bases = this.requestedBases.get(linkId);
    if (bases) bases.push(base);
    else this.requestedBases.set(linkId, [base]);
    if (base.version === 0) {
      this.context.directory.reader.send({kind: 'peer-supplies'});
    }
    this.context.versionTrace.recordFetch();
    this.context.options.observer.count('fetch-sent');
    const snapshotOnly = this.needsSnapshot;
    const canLimit = !snapshotOnly && base.version > 0;
    this.send(linkId, {
      kind: 'get-changes',
      sinceVersion: base.version,
      snapshotOnly,
      ...(isExpected ? {expectedVersion: tip.version} : {}),
      ...(canLimit ? {bucketDigests: digestBuckets(base)} : {}),
    });
    if (base.version > 0) this.announceExpected(linkId, tip);
  }

  // Lets peers ask for a version while it is on its way to this process.
  private announceExpected(fromLinkId: LinkId, tip: VersionDigest): void {
    if (tip.version <= this.expectedVersion) return;
    this.expectedVersion = tip.version;
    const {directory, versionTrace} = this.context;
    const hops = versionTrace.getHops();
    directory.links.send({
      kind: 'broadcast',
      message: {kind: 'announce', tip, isExpected: true, hops},
      excludedLinkId: fromLinkId,
    });
  }

  // Each reply ends with a `changes` message, which completes the fetch.
  private completeFetch(linkId: LinkId): void {
    if (this.pendingFetch?.linkId !== linkId) return;
    clearTimeout(this.pendingFetch.timer);
    this.pendingFetch = undefined;
    this.announcedTips.remove(linkId);
  }

  private expireFetch(fetchNumber: number): void {
    if (this.pendingFetch?.number !== fetchNumber) return;
    this.context.options.observer.count('fetch-timeout');
    this.completeFetch(this.pendingFetch.linkId);
    this.fetchNext();
  }

  private removePeer(linkId: LinkId): void {
    this.announcedTips.remove(linkId);
    this.requestedBases.delete(linkId);
    this.supplier.removePeer(linkId);
    this.completeFetch(linkId);
    this.fetchNext();
  }

  private reportInvalid(linkId: LinkId, problem: string): void {
    const {observer} = this.context.options;
    observer.count('invalid-changes');
    observer.log('error', COMPONENT, `Received invalid changes: ${problem}`);
    this.needsSnapshot = true;
    this.announcedTips.remove(linkId);
    this.fetchNext();
  }

  private reportMismatch(version: number): void {
    const {observer} = this.context.options;
    observer.count('digest-mismatch');
    observer.log(
      'error',
      COMPONENT,
      `Digest of version ${version} differs from the one received.`,
    );
  }

  private send(linkId: LinkId, message: PeerMessage): void {
    this.context.directory.links.send({kind: 'send', linkId, message});
  }
}
