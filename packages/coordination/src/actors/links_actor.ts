/** Owns the links to peers: handshake, heartbeats, dialling and forwarding. */

import type {InstanceId} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import type {
  LinkEvents,
  PeerAddress,
  PeerLink,
  PeerMessage,
  PeerMessageOf,
  VersionMark,
} from '@cassiaknot/peer-protocol';
import {AdmissionLimiter} from '../admission_limiter.js';
import type {LinkId, LinksMessage, WantedPeer} from './actor_messages.js';
import type {MessageHandler} from './actor_support.js';
import type {ControlContext} from './control_context.js';
import {DialSchedule} from './dial_schedule.js';
import type {LinkState} from './link_table.js';
import {LinkTable} from './link_table.js';

const PART = 'links';
const SURPLUS_GRACE_MS = 10_000;

/** Handles the mailbox of the links. */
export class LinksActor implements MessageHandler<LinksMessage> {
  private readonly links = new LinkTable();
  private readonly schedule: DialSchedule;
  private readonly admission: AdmissionLimiter;
  private wanted: readonly WantedPeer[] = [];
  /** Links at whose last beat the member tables differed. */
  private readonly mismatched = new Set<LinkId>();
  private linkCount = 0;
  private nonce = 0;
  private lastTickMs = performance.now();

  constructor(private readonly context: ControlContext) {
    const {random, overlay} = context.options;
    this.schedule = new DialSchedule(random);
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
        this.links.broadcast(message.message, message.exceptLinkId);
        return;
      case 'set-wanted':
        this.wanted = message.wanted;
        this.dialWanted();
        return;
      case 'dial':
        this.dialAll(message.addresses);
        return;
      case 'probe':
        this.nonce += 1;
        this.links.broadcast({kind: 'probe', nonce: this.nonce}, undefined);
        return;
      case 'tick':
        this.tick();
        return;
    }
  }

  /** Events of accepted links, for the transport. */
  getAcceptEvents(): LinkEvents {
    return this.newEvents(undefined);
  }

  private newEvents(address: PeerAddress | undefined): LinkEvents {
    const {links} = this.context.directory;
    const linkIds = new WeakMap<PeerLink, LinkId>();
    const getId = (link: PeerLink): LinkId => {
      const known = linkIds.get(link);
      if (known) return known;
      this.linkCount += 1;
      const linkId = brandId<LinkId>(String(this.linkCount));
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
    if (address !== undefined) this.schedule.recordEnd(address);
    const state = this.links.remove(linkId);
    if (!state) return;
    this.mismatched.delete(linkId);
    this.context.directory.replica.send({kind: 'peer-gone', linkId});
    this.reportLinkCount();
    const {peerId} = state;
    if (peerId === undefined || this.links.hasLinkTo(peerId)) return;
    this.context.options.observer.count('link-lost');
    const heldVersion = this.context.versionBook.getFloor(peerId);
    const {membership} = this.context.directory;
    membership.send({kind: 'peer-down', peerId, heldVersion});
    this.dialWanted();
  }

  private receive(linkId: LinkId, message: PeerMessage): void {
    const state = this.links.get(linkId);
    if (!state) return;
    state.lastHeardMs = performance.now();
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
          this.schedule.postpone(state.address, message.retryAfterMs);
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
    this.completeHandshake(state, hello.instanceId, hello.tip);
  }

  private receiveWelcome(
    state: LinkState,
    welcome: PeerMessageOf<'welcome'>,
  ): void {
    const {instanceId, floorVersion, tip} = welcome;
    const isDialler = state.address !== undefined;
    if (isDialler && state.peerId === undefined) {
      this.sendWelcome(state, instanceId);
      this.completeHandshake(state, instanceId, tip);
    }
    this.context.readiness.recordPeer(instanceId, floorVersion, tip.version);
  }

  private sendWelcome(state: LinkState, peerId: InstanceId): void {
    state.link.send({
      kind: 'welcome',
      ...this.getIdentity(),
      tip: this.getTip(),
      floorVersion: this.context.versionBook.getFloor(peerId),
    });
  }

  private completeHandshake(
    state: LinkState,
    peerId: InstanceId,
    tip: VersionMark,
  ): void {
    const {linkId} = state;
    state.peerId = peerId;
    if (state.address !== undefined) this.schedule.recordSuccess(state.address);
    this.context.options.observer.count('link-opened');
    const {membership} = this.context.directory;
    membership.send({kind: 'peer-up', linkId, peerId});
    this.forwardTip(linkId, tip);
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
        this.receiveHeartbeat(linkId, peerId, message);
        return;
      case 'announce':
        this.forwardTip(linkId, message.tip);
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
        this.receiveSuspect(linkId, message);
        return;
      case 'probe':
        state.link.send({
          kind: 'probe-reply',
          nonce: message.nonce,
          tip: this.getTip(),
        });
        return;
      case 'probe-reply':
        this.forwardTip(linkId, message.tip);
        if (message.nonce === this.nonce) {
          this.context.readiness.confirm(message.tip.version);
        }
        return;
    }
  }

  private receiveHeartbeat(
    linkId: LinkId,
    peerId: InstanceId,
    heartbeat: PeerMessageOf<'heartbeat'>,
  ): void {
    this.context.versionBook.record(peerId, heartbeat.heldVersion);
    this.forwardTip(linkId, heartbeat.tip);
    const digest = heartbeat.memberDigest;
    const isSame = digest === this.context.published.getMembership().digest;
    if (isSame && !this.mismatched.has(linkId)) return;
    if (isSame) this.mismatched.delete(linkId);
    else this.mismatched.add(linkId);
    this.context.directory.membership.send({
      kind: 'peer-digest',
      linkId,
      digest,
    });
  }

  private receiveSuspect(
    linkId: LinkId,
    message: PeerMessageOf<'suspect-request'>,
  ): void {
    const {fingerprint, crashCount, ttlMs} = message;
    const {quarantine} = this.context;
    if (!quarantine.learn(fingerprint, crashCount, ttlMs)) return;
    this.links.broadcast(message, linkId);
  }

  private forwardTip(linkId: LinkId, tip: VersionMark): void {
    const own = this.getTip();
    if (tip.version < own.version) return;
    if (tip.version === own.version && tip.digest === own.digest) return;
    this.context.directory.replica.send({kind: 'peer-tip', linkId, tip});
  }

  private tick(): void {
    this.forgiveOwnPause();
    this.sendHeartbeats();
    this.closeSilentLinks();
    this.closeSurplusLinks();
    this.dialWanted();
    this.schedule.collect();
  }

  // Peers were not silent while this process was not there to listen.
  private forgiveOwnPause(): void {
    const nowMs = performance.now();
    const {heartbeatMs} = this.context.options.timing;
    const pausedMs = nowMs - this.lastTickMs - heartbeatMs;
    this.lastTickMs = nowMs;
    if (pausedMs < heartbeatMs) return;
    this.links.forgivePause(pausedMs);
  }

  private sendHeartbeats(): void {
    const {published} = this.context;
    const heldVersion = published.getConfiguration().state.version;
    const memberDigest = published.getMembership().digest;
    const tip = this.getTip();
    this.links.broadcast(
      {kind: 'heartbeat', tip, heldVersion, memberDigest},
      undefined,
    );
  }

  private closeSilentLinks(): void {
    const {observer, timing} = this.context.options;
    const horizonMs = performance.now() - timing.linkSilenceMs;
    for (const state of this.links.getAll()) {
      if (state.lastHeardMs > horizonMs) continue;
      observer.count('link-silent');
      observer.log('info', PART, `Closed silent link to ${state.peerId}.`);
      state.link.close();
      // The close event may come late or, on a dead path, much later.
      this.closeLink(state.linkId, state.address);
    }
  }

  private closeSurplusLinks(): void {
    const nowMs = performance.now();
    const wantedIds = new Set(this.wanted.map(peer => peer.instanceId));
    for (const state of this.links.getAll()) {
      if (state.address === undefined || state.peerId === undefined) continue;
      if (wantedIds.has(state.peerId) || wantedIds.size === 0) {
        state.surplusSinceMs = undefined;
        continue;
      }
      state.surplusSinceMs ??= nowMs;
      if (nowMs - state.surplusSinceMs < SURPLUS_GRACE_MS) continue;
      state.link.close();
    }
  }

  private dialWanted(): void {
    for (const peer of this.wanted) {
      if (!this.links.hasLinkTo(peer.instanceId)) this.dial(peer.address);
    }
  }

  private dialAll(addresses: readonly PeerAddress[]): void {
    for (const address of addresses) {
      if (!this.links.hasLinkAt(address)) this.dial(address);
    }
  }

  private dial(address: PeerAddress): void {
    if (address === this.context.options.identity.peerAddress) return;
    if (!this.schedule.tryBegin(address)) return;
    this.context.options.transport.dial(address, this.newEvents(address));
  }

  private reportLinkCount(): void {
    const count = this.links.countPeers();
    this.context.directory.seeds.send({kind: 'links', count});
  }

  private getTip(): VersionMark {
    return this.context.published.getTip();
  }

  private getIdentity() {
    const {instanceId, dataCentreId, peerAddress} =
      this.context.options.identity;
    return {instanceId, dataCentreId, peerAddress};
  }
}

type HandshakeMessage = PeerMessageOf<'hello' | 'welcome' | 'busy'>;

function isHandshake(message: PeerMessage): message is HandshakeMessage {
  return (
    message.kind === 'hello' ||
    message.kind === 'welcome' ||
    message.kind === 'busy'
  );
}
