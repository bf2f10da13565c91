/** Owns the links to peers: dialling, handshakes, heartbeats and forwarding. */

import type {InstanceId} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import type {
  LinkEvents,
  PeerAddress,
  PeerLink,
  PeerMessage,
  PeerMessageOf,
  VersionDigest,
} from '@cassiaknot/peer-protocol';
import {AdmissionLimiter} from '../admission_limiter.js';
import type {LinkId, LinksMessage} from './actor_messages.js';
import type {MessageHandler} from './actor_support.js';
import type {ControlContext} from './control_context.js';
import {DialSchedule} from './dial_schedule.js';
import type {HandshakeMessage} from './handshake.js';
import {isHandshake} from './handshake.js';
import type {LinkState} from './link_table.js';
import {LinkTable} from './link_table.js';
import {PeerDialler} from './peer_dialler.js';

const COMPONENT = 'links';
/** Time for which an outbound link is kept after it is no longer desired. */
const SURPLUS_LINK_GRACE_MS = 10_000;
/**
 * Multiple of the heartbeat interval for which a relayed heartbeat replaces the
 * periodic ones; covers the variation of the interval between two contacts.
 */
const RELAY_REPLACES_TICK_FACTOR = 1.25;

/** What an announcement says of a version beside its number and digest. */
type AnnouncementDetails = Pick<
  PeerMessageOf<'announce'>,
  'isExpected' | 'hops' | 'change'
>;

/** Manages the links to peers and passes their messages to other actors. */
export class LinksActor implements MessageHandler<LinksMessage> {
  private readonly links = new LinkTable();
  private readonly dials: DialSchedule;
  private readonly admission: AdmissionLimiter;
  private readonly dialler: PeerDialler;
  /** Links whose last heartbeat carried a different membership digest. */
  private readonly mismatchedLinks = new Set<LinkId>();
  private lastLinkNumber = 0;
  private probeNonce = 0;
  private lastTickMs = performance.now();
  private lastRelayMs = -Infinity;

  constructor(private readonly context: ControlContext) {
    const {random, overlay} = context.options;
    this.dials = new DialSchedule(random);
    this.dialler = new PeerDialler(context, this.links, this.dials, address =>
      this.newEvents(address),
    );
    this.admission = new AdmissionLimiter(overlay.joinAdmission, random);
  }

  handle(message: LinksMessage): void {
    switch (message.kind) {
      case 'link-opened':
        this.openLink(message.linkId, message.link, message.address);
        return;
      case 'link-message':
        this.receive(message.linkId, message.message);
        return;
      case 'link-closed':
        this.closeLink(message.linkId, message.address);
        return;
      case 'send':
        this.links.get(message.linkId)?.link.send(message.message);
        return;
      case 'broadcast':
        this.links.broadcast(message.message, message.excludedLinkId);
        return;
      case 'set-desired':
        this.dialler.setDesired(message.desired);
        return;
      case 'dial':
        this.dialler.dialSeeds(message.addresses);
        return;
      case 'redial':
        this.dialler.redial();
        return;
      case 'probe':
        this.probeNonce += 1;
        this.links.broadcast(
          {kind: 'probe', nonce: this.probeNonce},
          undefined,
        );
        return;
      case 'relay-contact':
        this.relayContact();
        return;
      case 'tick':
        this.tick();
        return;
    }
  }

  /** Event handlers for inbound links. */
  getInboundLinkEvents(): LinkEvents {
    return this.newEvents(undefined);
  }

  private newEvents(address: PeerAddress | undefined): LinkEvents {
    const {links} = this.context.directory;
    const linkIds = new WeakMap<PeerLink, LinkId>();
    const getId = (link: PeerLink): LinkId => {
      const existing = linkIds.get(link);
      if (existing) return existing;
      this.lastLinkNumber += 1;
      const linkId = brandId<LinkId>(String(this.lastLinkNumber));
      linkIds.set(link, linkId);
      return linkId;
    };
    return {
      onOpen: link =>
        links.send({kind: 'link-opened', linkId: getId(link), link, address}),
      onMessage: (link, message) =>
        links.send({kind: 'link-message', linkId: getId(link), message}),
      onClose: (link, reason) =>
        links.send({
          kind: 'link-closed',
          linkId: getId(link),
          reason,
          address,
        }),
    };
  }

  private openLink(
    linkId: LinkId,
    link: PeerLink,
    address: PeerAddress | undefined,
  ): void {
    this.links.add(linkId, link, address);
    if (address === undefined) return;
    link.send({kind: 'hello', ...this.getIdentity(), tip: this.getTip()});
  }

  private closeLink(linkId: LinkId, address: PeerAddress | undefined): void {
    if (address !== undefined) this.dials.recordClosed(address);
    const state = this.links.remove(linkId);
    if (!state) return;
    this.mismatchedLinks.delete(linkId);
    this.context.directory.replica.send({kind: 'peer-disconnected', linkId});
    this.reportLinkCount();
    const {peerId} = state;
    if (peerId === undefined || this.links.hasLinkTo(peerId)) return;
    this.context.options.observer.count('link-lost');
    const heldVersion = this.context.reportedVersions.getFloorVersion(peerId);
    const {membership} = this.context.directory;
    membership.send({kind: 'peer-down', peerId, heldVersion});
    this.dialler.dialDesired();
  }

  private receive(linkId: LinkId, message: PeerMessage): void {
    const state = this.links.get(linkId);
    if (!state) return;
    state.lastReceivedMs = performance.now();
    if (isHandshake(message)) {
      this.receiveHandshake(state, message);
      return;
    }
    if (state.peerId === undefined) return;
    this.receiveFromPeer(state, state.peerId, message);
  }

  private receiveHandshake(state: LinkState, message: HandshakeMessage): void {
    switch (message.kind) {
      case 'hello':
        this.receiveHello(state, message);
        return;
      case 'welcome':
        this.receiveWelcome(state, message);
        return;
      case 'busy':
        if (state.address !== undefined) {
          this.dials.postpone(state.address, message.retryAfterMs);
        }
        state.link.close();
        return;
    }
  }

  private receiveHello(state: LinkState, hello: PeerMessageOf<'hello'>): void {
    if (hello.instanceId === this.context.options.identity.instanceId) {
      state.link.close();
      return;
    }
    const admission = this.admission.admit();
    if (admission.kind === 'refused') {
      this.context.options.observer.count('join-refused');
      const {retryAfterMs} = admission;
      state.link.send({kind: 'busy', retryAfterMs});
      state.link.close();
      return;
    }
    this.sendWelcome(state, hello.instanceId);
    this.completeHandshake(state, hello);
  }

  private receiveWelcome(
    state: LinkState,
    welcome: PeerMessageOf<'welcome'>,
  ): void {
    const {instanceId, floorVersion, tip} = welcome;
    const isDialler = state.address !== undefined;
    if (isDialler && state.peerId === undefined) {
      this.sendWelcome(state, instanceId);
      this.completeHandshake(state, welcome);
    }
    this.context.readiness.recordPeerWelcome(
      instanceId,
      floorVersion,
      tip.version,
    );
  }

  private sendWelcome(state: LinkState, peerId: InstanceId): void {
    state.link.send({
      kind: 'welcome',
      ...this.getIdentity(),
      tip: this.getTip(),
      floorVersion: this.context.reportedVersions.getFloorVersion(peerId),
    });
  }

  private completeHandshake(
    state: LinkState,
    handshake: PeerMessageOf<'hello' | 'welcome'>,
  ): void {
    const {linkId} = state;
    const {instanceId: peerId, dataCentreId, tip} = handshake;
    state.peerId = peerId;
    state.isRemote =
      dataCentreId !== this.context.options.identity.dataCentreId;
    if (state.address !== undefined) this.dials.recordSuccess(state.address);
    this.context.options.observer.count('link-opened');
    const {membership} = this.context.directory;
    membership.send({kind: 'peer-up', linkId, peerId});
    this.forwardTip(state, tip);
    this.reportLinkCount();
  }

  private receiveFromPeer(
    state: LinkState,
    peerId: InstanceId,
    message: Exclude<PeerMessage, HandshakeMessage>,
  ): void {
    const {linkId} = state;
    const {membership, replica} = this.context.directory;
    switch (message.kind) {
      case 'heartbeat':
        this.receiveHeartbeat(state, peerId, message);
        return;
      case 'announce':
        this.forwardTip(state, message.tip, message);
        return;
      case 'get-changes':
      case 'changes':
      case 'snapshot':
        replica.send({kind: 'peer-message', linkId, message});
        return;
      case 'members':
        membership.send({kind: 'peer-members', linkId, message});
        return;
      case 'member-buckets':
        membership.send({kind: 'peer-buckets', linkId, message});
        return;
      case 'suspect-request':
        this.receiveSuspectRequest(linkId, message);
        return;
      case 'probe':
        state.link.send({
          kind: 'probe-reply',
          nonce: message.nonce,
          tip: this.getTip(),
        });
        return;
      case 'probe-reply':
        this.forwardTip(state, message.tip);
        if (message.nonce === this.probeNonce) {
          this.context.readiness.confirmVersion(message.tip.version);
        }
        return;
    }
  }

  private receiveHeartbeat(
    state: LinkState,
    peerId: InstanceId,
    heartbeat: PeerMessageOf<'heartbeat'>,
  ): void {
    const {linkId} = state;
    this.mergeSourceAges(heartbeat);
    this.context.reportedVersions.record(peerId, heartbeat.heldVersion);
    this.forwardTip(state, heartbeat.tip);
    const digest = heartbeat.memberDigest;
    const isMatch = digest === this.context.published.getMembership().digest;
    if (isMatch && !this.mismatchedLinks.has(linkId)) return;
    if (isMatch) this.mismatchedLinks.delete(linkId);
    else this.mismatchedLinks.add(linkId);
    this.context.directory.membership.send({
      kind: 'peer-digest',
      linkId,
      digest,
    });
  }

  private mergeSourceAges(heartbeat: PeerMessageOf<'heartbeat'>): void {
    const {sourceAges} = heartbeat;
    if (!sourceAges) return;
    const {directory, sourceFreshness} = this.context;
    const hasRecovered = sourceFreshness.merge(sourceAges, performance.now());
    if (hasRecovered) directory.seeds.send({kind: 'store-recovered'});
    this.relayContact();
  }

  // Spreads a newer contact at once, so that its age does not grow by up to a
  // heartbeat on each hop.
  private relayContact(): void {
    if (!this.context.sourceFreshness.isRelayDue()) return;
    this.lastRelayMs = performance.now();
    this.sendHeartbeats();
  }

  private receiveSuspectRequest(
    linkId: LinkId,
    message: PeerMessageOf<'suspect-request'>,
  ): void {
    const {fingerprint, crashCount, ttlMs} = message;
    const {quarantine} = this.context;
    if (!quarantine.mergePeerCount(fingerprint, crashCount, ttlMs)) return;
    this.links.broadcast(message, linkId);
  }

  private forwardTip(
    state: LinkState,
    tip: VersionDigest,
    {isExpected = false, hops, change}: AnnouncementDetails = {},
  ): void {
    const {linkId, isRemote} = state;
    const ownTip = this.getTip();
    if (tip.version < ownTip.version) return;
    if (tip.version === ownTip.version && tip.digest === ownTip.digest) return;
    this.context.directory.replica.send({
      kind: 'peer-tip',
      linkId,
      tip,
      isRemote,
      isExpected,
      hops,
      change,
    });
  }

  private tick(): void {
    this.adjustForOwnPause();
    if (!this.hasRelayedRecently()) this.sendHeartbeats();
    this.closeTimedOutLinks();
    this.closeSurplusLinks();
    this.dialler.dialDesired();
    this.dials.evictIdle();
  }

  // While this process is paused it receives nothing, so silence during that
  // time must not count against the peers.
  private adjustForOwnPause(): void {
    const nowMs = performance.now();
    const {heartbeatMs} = this.context.options.timing;
    const pausedMs = nowMs - this.lastTickMs - heartbeatMs;
    this.lastTickMs = nowMs;
    if (pausedMs < heartbeatMs) return;
    this.links.adjustForPause(pausedMs);
    this.context.sourceFreshness.adjustForPause(nowMs, pausedMs);
  }

  // Heartbeats that pass on contacts replace the periodic ones.
  private hasRelayedRecently(): boolean {
    const {heartbeatMs} = this.context.options.timing;
    const silentMs = performance.now() - this.lastRelayMs;
    return silentMs < heartbeatMs * RELAY_REPLACES_TICK_FACTOR;
  }

  private sendHeartbeats(): void {
    const {published} = this.context;
    const heldVersion = published.getConfiguration().state.version;
    const memberDigest = published.getMembership().digest;
    const tip = this.getTip();
    const sourceAges = this.context.sourceFreshness.getAges(performance.now());
    this.links.broadcast(
      {kind: 'heartbeat', tip, heldVersion, memberDigest, sourceAges},
      undefined,
    );
  }

  private closeTimedOutLinks(): void {
    const {observer, timing} = this.context.options;
    const cutoffMs = performance.now() - timing.linkTimeoutMs;
    for (const state of this.links.getAll()) {
      if (state.lastReceivedMs > cutoffMs) continue;
      observer.count('link-silent');
      observer.log(
        'info',
        COMPONENT,
        `Closed silent link to ${state.peerId}: no message for ${timing.linkTimeoutMs} ms.`,
      );
      state.link.close();
      // On a dead network path the close event can arrive much later.
      this.closeLink(state.linkId, state.address);
    }
  }

  private closeSurplusLinks(): void {
    const nowMs = performance.now();
    const desiredIds = new Set(
      this.dialler.getDesired().map(peer => peer.instanceId),
    );
    for (const state of this.links.getAll()) {
      if (state.address === undefined || state.peerId === undefined) continue;
      if (desiredIds.has(state.peerId) || desiredIds.size === 0) {
        state.surplusSinceMs = undefined;
        continue;
      }
      state.surplusSinceMs ??= nowMs;
      if (nowMs - state.surplusSinceMs < SURPLUS_LINK_GRACE_MS) continue;
      state.link.close();
    }
  }

  private reportLinkCount(): void {
    const count = this.links.countPeers();
    this.context.directory.seeds.send({kind: 'links', count});
  }

  private getTip(): VersionDigest {
    return this.context.published.getTip();
  }

  private getIdentity() {
    const {instanceId, dataCentreId, peerAddress} =
      this.context.options.identity;
    return {instanceId, dataCentreId, peerAddress};
  }
}
