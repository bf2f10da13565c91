/**
 * Owns the member table: gossip, anti-entropy repair, failure reports and the
 * record of this member.
 */

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
  DesiredPeer,
} from './actor_messages.js';
import type {MessageHandler} from './actor_support.js';
import type {ControlContext} from './control_context.js';
import type {FailureReport} from './failure_detector.js';
import {FailureDetector} from './failure_detector.js';
import {RemoteLinks} from './remote_links.js';
import {SettledFlag} from './settled_flag.js';

const COMPONENT = 'members';
/** Time for which a member that left is redialled: a restart with margin. */
const REDIAL_AFTER_LEAVE_MS = 30_000;

/** Membership digests of both ends of a link at a heartbeat. */
interface DigestPair {
  readonly local: number;
  readonly remote: number;
}

interface PendingUpdate {
  readonly record: MemberRecord;
  readonly fromLinkId: LinkId | undefined;
}

/** Maintains the member table and derives the overlay from it. */
export class MembershipActor implements MessageHandler<MembershipMessage> {
  private readonly table = new MemberTable();
  private readonly detector: FailureDetector;
  private readonly pendingUpdates = new Map<InstanceId, PendingUpdate>();
  private readonly digestMismatches = new Map<LinkId, DigestPair>();
  private readonly remoteLinks = new RemoteLinks();
  private plan: OverlayPlan | undefined;
  /** Whether the table is assumed complete enough to rank candidates. */
  private areRolesEnabled = false;
  private readonly readerRole: SettledFlag;
  private readonly seedRole: SettledFlag;
  private isFlushPending = false;
  private isReplanDue = false;
  private nextRepairMs = 0;
  private lastDesiredAddresses = '';
  private lastTickMs = performance.now();
  private self: MemberRecord;

  constructor(private readonly context: ControlContext) {
    const {identity, observer, timing} = context.options;
    this.detector = new FailureDetector(timing, () => {
      observer.count('self-doubt');
      observer.log(
        'warn',
        COMPONENT,
        'Lost most links at once. Suspecting nobody.',
      );
    });
    this.readerRole = new SettledFlag(timing.roleSettleMs);
    this.seedRole = new SettledFlag(timing.roleSettleMs);
    this.self = {
      ...identity,
      incarnation: Date.now(),
      state: 'joining',
      heldVersion: 0,
    };
    this.merge(this.self, undefined);
  }

  handle(message: MembershipMessage): void {
    switch (message.kind) {
      case 'peer-up':
        this.receivePeerUp(message.linkId, message.peerId);
        return;
      case 'peer-down':
        this.detector.recordLinkDown(message.peerId);
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
      case 'update-own-record':
        this.updateOwnRecord(message.change);
        return;
      case 'enable-roles':
        if (message.isFirst) this.seedRole.set(true);
        this.enableRoles();
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
    this.detector.recordLinkUp(peerId);
    // Only the end with the lower id sends its buckets; the other end replies
    // if they differ.
    if (peerId < this.self.instanceId) return;
    this.sendBuckets(linkId);
  }

  // A repair starts only if both digests are the same as at the last heartbeat;
  // otherwise gossip is still converging.
  private compareDigest(linkId: LinkId, remote: number): void {
    const local = this.table.getDigest();
    const last = this.digestMismatches.get(linkId);
    this.digestMismatches.delete(linkId);
    if (remote === local) return;
    this.digestMismatches.set(linkId, {local, remote});
    if (last?.local !== local || last.remote !== remote) return;
    this.repair(linkId);
  }

  private repair(linkId: LinkId): void {
    const {observer, timing} = this.context.options;
    const nowMs = performance.now();
    if (nowMs < this.nextRepairMs) {
      observer.count('repair-postponed');
      return;
    }
    this.nextRepairMs = nowMs + timing.minRepairIntervalMs;
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
    this.enableRoles();
    const requested = this.table.getBucketRecords(message.wantBuckets);
    const records = [...newer, ...requested];
    if (records.length === 0) return;
    this.send(linkId, {kind: 'members', records, wantBuckets: []});
  }

  /** Merges a record; returns the stored one if that is newer. */
  private merge(
    record: MemberRecord,
    fromLinkId: LinkId | undefined,
  ): MemberRecord | undefined {
    if (record.instanceId === this.self.instanceId) this.refute(record);
    const previous = this.table.get(record.instanceId);
    const outcome = this.table.merge(record);
    if (outcome === 'stale') return previous;
    if (outcome === 'known') return undefined;
    const wasLive = previous !== undefined && isLiveState(previous.state);
    if (wasLive !== isLiveState(record.state)) this.isReplanDue = true;
    this.context.reportedVersions.record(record.instanceId, record.heldVersion);
    this.pendingUpdates.set(record.instanceId, {record, fromLinkId});
    this.scheduleFlush();
    return undefined;
  }

  // Peers hold a suspicion of this process, or a record of its previous run. A
  // higher incarnation overrides both.
  private refute(record: MemberRecord): void {
    if (record.incarnation < this.self.incarnation) return;
    if (record === this.self) return;
    const isOwnState =
      record.incarnation === this.self.incarnation &&
      record.state === this.self.state;
    if (isOwnState) return;
    this.context.options.observer.count('suspicion-refuted');
    const incarnation = Math.max(record.incarnation, this.self.incarnation) + 1;
    this.self = {...this.self, incarnation};
    this.publishOwnRecord();
  }

  private updateOwnRecord(change: OwnRecordChange): void {
    const {target, ...rest} = this.self;
    const nextTarget = change.target === undefined ? target : change.target;
    this.self = {
      ...rest,
      ...(nextTarget ? {target: nextTarget} : {}),
      state: change.state ?? this.self.state,
      incarnation: Math.max(this.self.incarnation + 1, Date.now()),
      heldVersion: this.context.published.getConfiguration().state.version,
    };
    this.publishOwnRecord();
  }

  private publishOwnRecord(): void {
    this.table.merge(this.self);
    const update = {record: this.self, fromLinkId: undefined};
    this.pendingUpdates.set(this.self.instanceId, update);
    this.flush();
  }

  private enableRoles(): void {
    if (this.areRolesEnabled) return;
    this.areRolesEnabled = true;
    this.flush();
    this.replan();
  }

  private scheduleFlush(): void {
    if (this.isFlushPending) return;
    this.isFlushPending = true;
    const {membership} = this.context.directory;
    const {gossipBatchMs} = this.context.options.timing;
    setTimeout(() => membership.send({kind: 'flush'}), gossipBatchMs);
  }

  private flush(): void {
    this.isFlushPending = false;
    if (this.pendingUpdates.size === 0) return;
    this.gossip();
    const digest = this.table.getDigest();
    const {dataCentreId} = this.self;
    const view = newMembershipView(this.table.getAll(), digest, dataCentreId);
    this.context.published.publishMembership(view);
    if (!this.plan) this.replan();
  }

  private gossip(): void {
    const recordsBySource = new Map<LinkId | undefined, MemberRecord[]>();
    for (const {record, fromLinkId} of this.pendingUpdates.values()) {
      const records = recordsBySource.get(fromLinkId);
      if (records) records.push(record);
      else recordsBySource.set(fromLinkId, [record]);
    }
    this.pendingUpdates.clear();
    for (const [excludedLinkId, records] of recordsBySource) {
      const message: PeerMessage = {kind: 'members', records, wantBuckets: []};
      const {links} = this.context.directory;
      links.send({kind: 'broadcast', message, excludedLinkId});
    }
  }

  private replan(): void {
    const {options, published, readiness} = this.context;
    const {instanceId, dataCentreId} = options.identity;
    const plan = planOverlay({
      self: instanceId,
      dataCentreId,
      view: published.getMembership(),
      overlay: options.overlay,
    });
    this.plan = plan;
    published.publishPlan(plan);
    this.isReplanDue = false;
    const local = published.getMembership().liveByDataCentre.get(dataCentreId);
    readiness.recordLivePeers((local?.length ?? 1) - 1);
    this.applyRoles(plan);
    this.sendDesiredPeers(plan);
  }

  // A new process first knows few members and ranks high among them, so it takes
  // a role only once its rank is stable.
  private applyRoles(plan: OverlayPlan): void {
    const {directory} = this.context;
    const nowMs = performance.now();
    const isReader = plan.isReader && this.areRolesEnabled;
    const isSeed = plan.isSeed && this.areRolesEnabled;
    directory.reader.send({
      kind: 'set-role',
      isReader: this.readerRole.update(isReader, nowMs),
    });
    directory.seeds.send({
      kind: 'set-roles',
      isSeed: this.seedRole.update(isSeed, nowMs),
      isUplink: plan.isUplink,
    });
  }

  private sendDesiredPeers(plan: OverlayPlan): void {
    const ids = new Set<InstanceId>(plan.neighbours);
    for (const id of this.detector.findUnlinked(plan.monitored)) ids.add(id);
    const remotePeers = this.remoteLinks.choosePeers(
      plan.remoteCandidates,
      id => this.detector.isLinked(id),
    );
    for (const id of remotePeers) ids.add(id);
    const desired: DesiredPeer[] = [];
    for (const instanceId of ids) {
      const record = this.table.get(instanceId);
      if (record) desired.push({instanceId, address: record.peerAddress});
    }
    const summary = desired.map(({address}) => address).join();
    if (summary === this.lastDesiredAddresses) return;
    this.lastDesiredAddresses = summary;
    this.context.directory.links.send({kind: 'set-desired', desired});
  }

  // Uplinks report to their data centre which others they have no link to.
  private reportUnreachable(): void {
    const {observer, timing} = this.context.options;
    if (!this.plan) return;
    const unreachable = this.remoteLinks.findUnreachable(
      this.plan.remoteCandidates,
      timing.unreachableAfterMs,
    );
    if (unreachable.join() === (this.self.unreachable ?? []).join()) return;
    const names = unreachable.join(', ') || 'none';
    observer.log('warn', COMPONENT, `Unreachable data centres: ${names}.`);
    this.self = {...this.self, unreachable};
    this.updateOwnRecord({});
  }

  private tick(): void {
    this.adjustForOwnPause();
    this.reportFailures();
    this.redialDeparted();
    this.table.expireTombstones(performance.now());
    // Planning ranks all members of the data centre, so it runs at most once
    // per tick.
    if (this.isReplanDue) {
      this.replan();
    } else if (this.plan) {
      this.applyRoles(this.plan);
      this.sendDesiredPeers(this.plan);
    }
    this.reportUnreachable();
  }

  private adjustForOwnPause(): void {
    const nowMs = performance.now();
    const {heartbeatMs} = this.context.options.timing;
    const pausedMs = nowMs - this.lastTickMs - heartbeatMs;
    this.lastTickMs = nowMs;
    if (pausedMs < heartbeatMs) return;
    this.detector.adjustForPause(pausedMs);
    this.remoteLinks.reset();
  }

  private reportFailures(): void {
    for (const report of this.detector.evaluate(this.plan?.monitored ?? [])) {
      this.applyReport(report);
    }
  }

  private applyReport(report: FailureReport): void {
    const {observer} = this.context.options;
    const record = this.table.get(report.instanceId);
    if (!record || record.state === report.state) return;
    if (!isLiveState(record.state)) return;
    const {state} = report;
    const floor = this.context.reportedVersions.getFloorVersion(
      report.instanceId,
    );
    const heldVersion = Math.max(floor, record.heldVersion);
    observer.count(state === 'dead' ? 'member-buried' : 'member-suspected');
    observer.log('warn', COMPONENT, `Marked ${report.instanceId} as ${state}.`);
    this.merge({...record, state, heldVersion}, undefined);
  }

  // A process that restarts while the store is unavailable cannot discover its
  // peers, so they dial it. A member that left may return too, because a
  // planned restart leaves the mesh first.
  private redialDeparted(): void {
    const {random} = this.context.options;
    const leftSinceMs = performance.now() - REDIAL_AFTER_LEAVE_MS;
    const record = pickRandom(random, this.table.getDeparted(leftSinceMs));
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
