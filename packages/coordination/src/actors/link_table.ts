/** The open links and the state of their peers. */

import type {InstanceId} from '@cassiaknot/inventory';
import type {
  PeerAddress,
  PeerLink,
  PeerMessage,
} from '@cassiaknot/peer-protocol';
import type {LinkId} from './actor_messages.js';

/** One open link. */
export interface LinkState {
  readonly linkId: LinkId;
  readonly link: PeerLink;
  /** Address that was dialled; undefined for an inbound link. */
  readonly address: PeerAddress | undefined;
  /** Set once the handshake is complete. */
  peerId: InstanceId | undefined;
  /** Whether the peer is in another data centre; set with its id. */
  isRemote: boolean;
  lastReceivedMs: number;
  /** Time since which an outbound link has not been desired. */
  surplusSinceMs: number | undefined;
}

export class LinkTable {
  private readonly links = new Map<LinkId, LinkState>();

  /** Adds a link whose handshake is not complete. */
  add(
    linkId: LinkId,
    link: PeerLink,
    address: PeerAddress | undefined,
  ): LinkState {
    const state: LinkState = {
      linkId,
      link,
      address,
      peerId: undefined,
      isRemote: false,
      lastReceivedMs: performance.now(),
      surplusSinceMs: undefined,
    };
    this.links.set(linkId, state);
    return state;
  }

  remove(linkId: LinkId): LinkState | undefined {
    const state = this.links.get(linkId);
    this.links.delete(linkId);
    return state;
  }

  get(linkId: LinkId): LinkState | undefined {
    return this.links.get(linkId);
  }

  /** Returns all links, including those whose handshake is not complete. */
  getAll(): IterableIterator<LinkState> {
    return this.links.values();
  }

  /** Whether a link to a peer has completed its handshake. */
  hasLinkTo(peerId: InstanceId): boolean {
    for (const state of this.links.values()) {
      if (state.peerId === peerId) return true;
    }
    return false;
  }

  /** Whether an outbound link to an address is open. */
  hasLinkAt(address: PeerAddress): boolean {
    for (const state of this.links.values()) {
      if (state.address === address) return true;
    }
    return false;
  }

  /** Counts the links whose handshake is complete. */
  countPeers(): number {
    let count = 0;
    for (const state of this.links.values()) {
      if (state.peerId !== undefined) count += 1;
    }
    return count;
  }

  /**
   * Sends a message to each peer once, except to the peer of the link on which it
   * was received. Member records from another data centre are not passed on to a
   * third one, which has links of its own to the first; anti-entropy repairs what
   * a lost link withholds.
   */
  broadcast(message: PeerMessage, sourceLinkId: LinkId | undefined): void {
    const sentTo = new Set<InstanceId>();
    const source = sourceLinkId && this.links.get(sourceLinkId);
    if (source?.peerId !== undefined) sentTo.add(source.peerId);
    const staysLocal = source?.isRemote === true && message.kind === 'members';
    for (const {link, peerId, isRemote} of this.links.values()) {
      if (peerId === undefined || sentTo.has(peerId)) continue;
      if (staysLocal && isRemote) continue;
      sentTo.add(peerId);
      link.send(message);
    }
  }

  /** Excludes a pause of this process from the time without messages. */
  adjustForPause(pausedMs: number): void {
    const nowMs = performance.now();
    for (const state of this.links.values()) {
      state.lastReceivedMs = Math.min(nowMs, state.lastReceivedMs + pausedMs);
    }
  }
}
