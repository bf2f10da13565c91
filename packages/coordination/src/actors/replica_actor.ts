/**
 * Owns the configuration replica: takes changes from the store or from peers
 * and announces what it has.
 */

import type {
  PeerMessage,
  PeerMessageOf,
  VersionMark,
} from '@cassiaknot/peer-protocol';
import type {OfferOutcome} from '../config_replica.js';
import {ConfigReplica} from '../config_replica.js';
import type {LinkId, ReplicaMessage} from './actor_messages.js';
import type {MessageHandler} from './actor_support.js';
import type {ControlContext} from './control_context.js';

const PART = 'replica';

interface Fetch {
  readonly linkId: LinkId;
  readonly number: number;
  readonly timer: NodeJS.Timeout;
}

/** Handles the mailbox of the replica. */
export class ReplicaActor implements MessageHandler<ReplicaMessage> {
  private readonly replica = new ConfigReplica();
  private readonly announcers = new Map<LinkId, VersionMark>();
  private fetch: Fetch | undefined;
  private fetchCount = 0;
  private needsSnapshot = false;
  private isFetchScheduled = false;

  constructor(private readonly context: ControlContext) {}

  handle(message: ReplicaMessage): void {
    switch (message.kind) {
      case 'peer-tip':
        this.receiveTip(message.linkId, message.tip);
        return;
      case 'peer-message':
        this.receivePeerMessage(message.linkId, message.message);
        return;
      case 'peer-gone':
        this.dropAnnouncer(message.linkId);
        return;
      case 'store-catch-up':
        this.takeCatchUp(message.catchUp);
        return;
      case 'fetch-due':
        this.fetchOverdue(message.version);
        return;
      case 'fetch-timeout':
        this.expireFetch(message.fetchNumber);
        return;
    }
  }

  private receiveTip(linkId: LinkId, tip: VersionMark): void {
    if (!this.context.options.overlay.learnsFromPeers) return;
    const own = this.replica.getTip();
    if (tip.version === own.version && tip.digest !== own.digest) {
      this.reportMismatch(tip.version);
    }
    if (tip.version <= own.version) return;
    this.announcers.set(linkId, tip);
    const {fetchDelayMs} = this.context.options.timing;
    // A process that holds nothing yet has no time to lose.
    if (fetchDelayMs === 0 || own.version === 0) this.fetchNext();
    else this.scheduleFetch(tip.version);
  }

  private scheduleFetch(version: number): void {
    if (this.isFetchScheduled) return;
    this.isFetchScheduled = true;
    const {replica} = this.context.directory;
    const {fetchDelayMs} = this.context.options.timing;
    setTimeout(() => replica.send({kind: 'fetch-due', version}), fetchDelayMs);
  }

  // The store may have told of that version meanwhile and peers of newer ones,
  // which then have their own time to arrive.
  private fetchOverdue(version: number): void {
    this.isFetchScheduled = false;
    const own = this.replica.getTip();
    if (own.version < version) {
      this.fetchNext();
      return;
    }
    for (const tip of this.announcers.values()) {
      if (tip.version > own.version) this.scheduleFetch(tip.version);
    }
  }

  private receivePeerMessage(
    linkId: LinkId,
    message: PeerMessageOf<'get-changes' | 'changes' | 'snapshot'>,
  ): void {
    switch (message.kind) {
      case 'get-changes':
        this.answerFetch(linkId, message);
        return;
      case 'changes':
        this.settleFetch(linkId);
        this.settleOffer(linkId, this.replica.offerChanges(message.changes));
        return;
      case 'snapshot':
        this.settleOffer(linkId, this.replica.offerSnapshot(message));
        return;
    }
  }

  private takeCatchUp(
    catchUp: Extract<ReplicaMessage, {kind: 'store-catch-up'}>['catchUp'],
  ): void {
    if (catchUp.snapshot) {
      this.settleOffer(undefined, this.replica.offerSnapshot(catchUp.snapshot));
    }
    this.settleOffer(undefined, this.replica.offerChanges(catchUp.changes));
  }

  private settleOffer(linkId: LinkId | undefined, outcome: OfferOutcome): void {
    switch (outcome.kind) {
      case 'advanced':
        this.needsSnapshot = false;
        this.publish(linkId, outcome.isInstalled);
        break;
      case 'gap':
        this.needsSnapshot = true;
        break;
      case 'digest-mismatch':
        this.needsSnapshot = true;
        this.reportMismatch(outcome.version);
        if (linkId) this.announcers.delete(linkId);
        break;
      case 'stale':
        break;
    }
    if (!this.isFetchScheduled) this.fetchNext();
  }

  private publish(from: LinkId | undefined, isInstalled: boolean): void {
    const {directory, options, published, readiness} = this.context;
    const installed = this.replica.getInstalled();
    const tip = this.replica.getTip();
    const skipped = this.replica.getSkipped();
    published.publishConfiguration(installed);
    published.publishTip(tip, skipped);
    options.observer.count(
      isInstalled ? 'version-installed' : 'version-skipped',
    );
    if (isInstalled) {
      const sentence = `Version ${installed.version} is in force.`;
      options.observer.log('info', PART, sentence);
    }
    if (skipped) {
      const {length} = skipped.problems;
      const sentence = `Skipped version ${tip.version}: ${length} problems.`;
      options.observer.log('error', PART, sentence);
    }
    readiness.recordHeld({
      installedVersion: installed.version,
      tipVersion: tip.version,
    });
    directory.links.send({
      kind: 'broadcast',
      message: {kind: 'announce', tip},
      exceptLinkId: from,
    });
  }

  private fetchNext(): void {
    if (this.fetch) return;
    const own = this.replica.getTip();
    for (const [linkId, tip] of this.announcers) {
      if (tip.version <= own.version) {
        this.announcers.delete(linkId);
        continue;
      }
      this.startFetch(linkId, own.version);
      return;
    }
  }

  private startFetch(linkId: LinkId, sinceVersion: number): void {
    this.fetchCount += 1;
    const number = this.fetchCount;
    const {fetchTimeoutMs} = this.context.options.timing;
    const {replica} = this.context.directory;
    const timer = setTimeout(
      () => replica.send({kind: 'fetch-timeout', fetchNumber: number}),
      fetchTimeoutMs,
    );
    this.fetch = {linkId, number, timer};
    this.context.options.observer.count('fetch-sent');
    const snapshotOnly = this.needsSnapshot;
    this.send(linkId, {kind: 'get-changes', sinceVersion, snapshotOnly});
  }

  // The changes always come last in an answer and so complete the fetch.
  private settleFetch(linkId: LinkId): void {
    if (this.fetch?.linkId !== linkId) return;
    clearTimeout(this.fetch.timer);
    this.fetch = undefined;
    this.announcers.delete(linkId);
  }

  private expireFetch(fetchNumber: number): void {
    if (this.fetch?.number !== fetchNumber) return;
    this.context.options.observer.count('fetch-timeout');
    this.settleFetch(this.fetch.linkId);
    this.fetchNext();
  }

  private dropAnnouncer(linkId: LinkId): void {
    this.announcers.delete(linkId);
    this.settleFetch(linkId);
    this.fetchNext();
  }

  private answerFetch(
    linkId: LinkId,
    request: PeerMessageOf<'get-changes'>,
  ): void {
    const since = request.snapshotOnly
      ? undefined
      : this.replica.getChangesSince(request.sinceVersion);
    if (since) {
      this.send(linkId, {kind: 'changes', changes: [...since]});
      return;
    }
    const {version, digest, records} = this.replica.getInstalled();
    this.send(linkId, {
      kind: 'snapshot',
      version,
      digest,
      records: [...records.values()],
    });
    const after = this.replica.getChangesSince(version) ?? [];
    this.send(linkId, {kind: 'changes', changes: [...after]});
  }

  private reportMismatch(version: number): void {
    const {observer} = this.context.options;
    observer.count('digest-mismatch');
    observer.log('error', PART, `Digest of version ${version} differs.`);
  }

  private send(linkId: LinkId, message: PeerMessage): void {
    this.context.directory.links.send({kind: 'send', linkId, message});
  }
}
