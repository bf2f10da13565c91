/** Owns the member table: gossip, repair, failure claims and the own record. */

import type {InstanceId} from '@cassiaknot/inventory';
import type {
  MemberRecord,
  PeerMessage,
  PeerMessageOf,
} from '@cassiaknot/peer-protocol';
import {MemberTable, isLiveState} from '../member_table.js';
import {newMembershipView} from '../membership_view.js';
import type {OverlayPlan} from '../overlay_plan.js';
import {planOverlay} from '../overlay_plan.js';
import {pickRandom} from '../random.js';
import type {
  LinkId,
  MembershipMessage,
  OwnRecordChange,
  WantedPeer,
} from './actor_messages.js';
import type {MessageHandler} from './actor_support.js';
import type {ControlContext} from './control_context.js';
import type {FailureClaim} from './failure_detector.js';
import {FailureDetector} from './failure_detector.js';
import {RemoteLinks} from './remote_links.js';

const PART = 'members';
/** Time for which a member that left is looked for: a restart with margin. */
const REDIAL_LEFT_MS = 30_000;

/** Digests of both ends of a link at a beat. */
interface DigestPair {
  readonly own: number;
  readonly peer: number;
}

interface PendingNews {
  readonly record: MemberRecord;
  readonly fromLinkId: LinkId | undefined;
}

/** Handles the mailbox of the membership. */
export class MembershipActor implements MessageHandler<MembershipMessage> {
  private readonly table = new MemberTable();
  private readonly detector: FailureDetector;
  private readonly news = new Map<InstanceId, PendingNews>();
  private readonly mismatches = new Map<LinkId, DigestPair>();
  private readonly remoteLinks = new RemoteLinks();
  private plan: OverlayPlan | undefined;
  /** Whether the table can be trusted to rank candidates for roles. */
  private isSettled = false;
  private isFlushPending = false;
  private isReplanDue = false;
  private nextRepairMs = 0;
  private lastWanted = '';
  private lastTickMs = performance.now();
  private own: MemberRecord;

  constructor(private readonly context: ControlContext) {
    const {identity, observer, timing} = context.options;
    this.detector = new FailureDetector(timing, () => {
      observer.count('self-doubt');
      observer.log('warn', PART, 'Lost most links at once. Suspecting nobody.');
    });
    this.own = {
      ...identity,
      incarnation: Date.now(),
      state: 'joining',
      heldVersion: 0,
    };
    this.merge(this.own, undefined);
  }

  handle(message: MembershipMessage): void {
    switch (message.kind) {
      case 'peer-up':
        this.receivePeerUp(message.linkId, message.peerId);
        return;
      case 'peer-down':
        this.detector.recordDown(message.peerId);
        return;
      case 'peer-digest':
        this.compareDigest(message.linkId, message.digest);
        return;
      case 'peer-members':
        this.receiveMembers(message.linkId, message.message);
        return;
      case 'peer-buckets':
        this.receiveBuckets(message.linkId, message.message);
        return;
      case 'set-own':
        this.changeOwn(message.change);
        return;
      case 'settle':
        this.settle();
        return;
      case 'flush':
        this.flush();
        return;
      case 'tick':
        this.tick();
        return;
    }
  }

  private receivePeerUp(linkId: LinkId, peerId: InstanceId): void {
    this.detector.recordUp(peerId);
    if (peerId < this.own.instanceId) return;
    this.sendBuckets(linkId);
  }

  // While either table still changes, gossip is at work and no repair is due.
  private compareDigest(linkId: LinkId, peer: number): void {
    const own = this.table.getDigest();
    const last = this.mismatches.get(linkId);
    this.mismatches.delete(linkId);
    if (peer === own) return;
    this.mismatches.set(linkId, {own, peer});
    if (last?.own !== own || last.peer !== peer) return;
    this.repair(linkId);
  }

  private repair(linkId: LinkId): void {
    const {observer, timing} = this.context.options;
    const nowMs = performance.now();
    if (nowMs < this.nextRepairMs) {
      observer.count('repair-postponed');
      return;
    }
    this.nextRepairMs = nowMs + timing.repairGapMs;
    observer.count('members-repaired');
    this.sendBuckets(linkId);
  }

  private receiveBuckets(
    linkId: LinkId,
    message: PeerMessageOf<'member-buckets'>,
  ): void {
    const differing = this.table.findDifferingBuckets(message.digests);
    if (differing.length === 0) return;
    this.send(linkId, {
      kind: 'members',
      records: this.table.getBucketRecords(differing),
      wantBuckets: differing,
    });
  }

  private receiveMembers(
    linkId: LinkId,
    message: PeerMessageOf<'members'>,
  ): void {
    const newer: MemberRecord[] = [];
    for (const record of message.records) {
      const known = this.merge(record, linkId);
      if (known) newer.push(known);
    }
    this.settle();
    const wanted = this.table.getBucketRecords(message.wantBuckets);
    const records = [...newer, ...wanted];
    if (records.length === 0) return;
    this.send(linkId, {kind: 'members', records, wantBuckets: []});
  }

  /** Merges a record; returns the one held if that is newer. */
  private merge(
    record: MemberRecord,
    fromLinkId: LinkId | undefined,
  ): MemberRecord | undefined {
    if (record.instanceId === this.own.instanceId) this.refute(record);
    const before = this.table.get(record.instanceId);
    const outcome = this.table.merge(record);
    if (outcome === 'stale') return before;
    if (outcome === 'known') return undefined;
    const wasLive = before !== undefined && isLiveState(before.state);
    if (wasLive !== isLiveState(record.state)) this.isReplanDue = true;
    this.context.versionBook.record(record.instanceId, record.heldVersion);
    this.news.set(record.instanceId, {record, fromLinkId});
    this.scheduleFlush();
    return undefined;
  }

  // Others hold a claim about this process, or a record of its last life.
  private refute(claim: MemberRecord): void {
    if (claim.incarnation < this.own.incarnation) return;
    if (claim === this.own) return;
    const isSame =
      claim.incarnation === this.own.incarnation &&
      claim.state === this.own.state;
    if (isSame) return;
    this.context.options.observer.count('suspicion-refuted');
    const incarnation = Math.max(claim.incarnation, this.own.incarnation) + 1;
    this.own = {...this.own, incarnation};
    this.publishOwn();
  }

  private changeOwn(change: OwnRecordChange): void {
    const {target, ...rest} = this.own;
    const nextTarget = change.target === undefined ? target : change.target;
    this.own = {
      ...rest,
      ...(nextTarget ? {target: nextTarget} : {}),
      state: change.state ?? this.own.state,
      incarnation: Math.max(this.own.incarnation + 1, Date.now()),
      heldVersion: this.context.published.getConfiguration().state.version,
    };
    this.publishOwn();
  }

  private publishOwn(): void {
    this.table.merge(this.own);
    const news = {record: this.own, fromLinkId: undefined};
    this.news.set(this.own.instanceId, news);
    this.flush();
  }

  private settle(): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.flush();
    this.replan();
  }

  private scheduleFlush(): void {
    if (this.isFlushPending) return;
    this.isFlushPending = true;
    const {membership} = this.context.directory;
    const {gossipDelayMs} = this.context.options.timing;
    setTimeout(() => membership.send({kind: 'flush'}), gossipDelayMs);
  }

  private flush(): void {
    this.isFlushPending = false;
    if (this.news.size === 0) return;
    this.gossip();
    const digest = this.table.getDigest();
    const {dataCentreId} = this.own;
    const view = newMembershipView(this.table.getAll(), digest, dataCentreId);
    this.context.published.publishMembership(view);
    if (!this.plan) this.replan();
  }

  private gossip(): void {
    const bySource = new Map<LinkId | undefined, MemberRecord[]>();
    for (const {record, fromLinkId} of this.news.values()) {
      const records = bySource.get(fromLinkId);
      if (records) records.push(record);
      else bySource.set(fromLinkId, [record]);
    }
    this.news.clear();
    for (const [exceptLinkId, records] of bySource) {
      const message: PeerMessage = {kind: 'members', records, wantBuckets: []};
      const {links} = this.context.directory;
      links.send({kind: 'broadcast', message, exceptLinkId});
    }
  }

  private replan(): void {
    const {directory, options, published, readiness} = this.context;
    const {instanceId, dataCentreId} = options.identity;
    const plan = planOverlay({
      self: instanceId,
      dataCentreId,
      view: published.getMembership(),
      overlay: options.overlay,
    });
    this.plan = plan;
    this.isReplanDue = false;
    const local = published.getMembership().liveByDataCentre.get(dataCentreId);
    readiness.recordLivePeers((local?.length ?? 1) - 1);
    const isReader = plan.isReader && this.isSettled;
    const isSeed = plan.isSeed && this.isSettled;
    directory.reader.send({kind: 'set-role', isReader});
    directory.seeds.send({kind: 'set-roles', isSeed, isReader});
    this.sendWanted(plan);
  }

  private sendWanted(plan: OverlayPlan): void {
    const ids = new Set<InstanceId>(plan.neighbours);
    for (const id of this.detector.findUnlinked(plan.watched)) ids.add(id);
    const remotePeers = this.remoteLinks.choosePeers(
      plan.remoteCandidates,
      id => this.detector.isLinked(id),
    );
    for (const id of remotePeers) ids.add(id);
    const wanted: WantedPeer[] = [];
    for (const instanceId of ids) {
      const record = this.table.get(instanceId);
      if (record) wanted.push({instanceId, address: record.peerAddress});
    }
    const summary = wanted.map(({address}) => address).join();
    if (summary === this.lastWanted) return;
    this.lastWanted = summary;
    this.context.directory.links.send({kind: 'set-wanted', wanted});
  }

  // A reader tells its data centre which others it has had no link to.
  private reportUnreachable(): void {
    const {observer, timing} = this.context.options;
    if (!this.plan) return;
    const unreachable = this.remoteLinks.findUnreachable(
      this.plan.remoteCandidates,
      timing.unreachableAfterMs,
    );
    if (unreachable.join() === (this.own.unreachable ?? []).join()) return;
    const names = unreachable.join(', ') || 'none';
    observer.log('warn', PART, `Unreachable data centres: ${names}.`);
    this.own = {...this.own, unreachable};
    this.changeOwn({});
  }

  private tick(): void {
    this.forgiveOwnPause();
    this.claimFailures();
    this.redialGone();
    this.table.collectTombstones(performance.now());
    // Planning ranks all members of the data centre, so once a beat is enough.
    if (this.isReplanDue) this.replan();
    else if (this.plan) this.sendWanted(this.plan);
    this.reportUnreachable();
  }

  private forgiveOwnPause(): void {
    const nowMs = performance.now();
    const {heartbeatMs} = this.context.options.timing;
    const pausedMs = nowMs - this.lastTickMs - heartbeatMs;
    this.lastTickMs = nowMs;
    if (pausedMs < heartbeatMs) return;
    this.detector.forgivePause(pausedMs);
    this.remoteLinks.forgivePause();
  }

  private claimFailures(): void {
    for (const claim of this.detector.evaluate(this.plan?.watched ?? [])) {
      this.applyClaim(claim);
    }
  }

  private applyClaim(claim: FailureClaim): void {
    const {observer} = this.context.options;
    const record = this.table.get(claim.instanceId);
    if (!record || record.state === claim.state) return;
    if (!isLiveState(record.state)) return;
    const {state} = claim;
    const floor = this.context.versionBook.getFloor(claim.instanceId);
    const heldVersion = Math.max(floor, record.heldVersion);
    observer.count(state === 'dead' ? 'member-buried' : 'member-suspected');
    observer.log('warn', PART, `Claimed ${claim.instanceId} ${state}.`);
    this.merge({...record, state, heldVersion}, undefined);
  }

  // A process that returns while the store is away can't find its peers, so
  // they look for it. One that left may come back as well: a restart leaves.
  private redialGone(): void {
    const {random} = this.context.options;
    const leftSinceMs = performance.now() - REDIAL_LEFT_MS;
    const record = pickRandom(random, this.table.getGone(leftSinceMs));
    if (!record) return;
    const addresses = [record.peerAddress];
    this.context.directory.links.send({kind: 'dial', addresses});
  }

  private sendBuckets(linkId: LinkId): void {
    const digests = [...this.table.getBucketDigests()];
    this.send(linkId, {kind: 'member-buckets', digests});
  }

  private send(linkId: LinkId, message: PeerMessage): void {
    this.context.directory.links.send({kind: 'send', linkId, message});
  }
}
