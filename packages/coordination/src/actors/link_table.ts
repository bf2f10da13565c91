/** The links that are open, with what is known of their other ends. */

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
  /** Address dialled; undefined for an accepted link. */
  readonly address: PeerAddress | undefined;
  /** Set once the handshake is complete. */
  peerId: InstanceId | undefined;
  lastHeardMs: number;
  /** Since when a dialled link has not been wanted. */
  surplusSinceMs: number | undefined;
}

/** Holds the open links. */
export class LinkTable {
  private readonly links = new Map<LinkId, LinkState>();

  /** Adds a link whose handshake is still to come. */
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
      lastHeardMs: performance.now(),
      surplusSinceMs: undefined,
    };
    this.links.set(linkId, state);
    return state;
  }

  /** Removes and returns a link. */
  remove(linkId: LinkId): LinkState | undefined {
    const state = this.links.get(linkId);
    this.links.delete(linkId);
    return state;
  }

  /** Returns a link. */
  get(linkId: LinkId): LinkState | undefined {
    return this.links.get(linkId);
  }

  /** Returns all links, also those without a handshake yet. */
  getAll(): IterableIterator<LinkState> {
    return this.links.values();
  }

  /** Whether a link to a peer is up. */
  hasLinkTo(peerId: InstanceId): boolean {
    for (const state of this.links.values()) {
      if (state.peerId === peerId) return true;
    }
    return false;
  }

  /** Whether a link to an address was dialled and is open. */
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

  /** Sends a message to each peer once, but for the one of a given link. */
  broadcast(message: PeerMessage, exceptLinkId: LinkId | undefined): void {
    const sentTo = new Set<InstanceId>();
    const excepted = exceptLinkId && this.links.get(exceptLinkId)?.peerId;
    if (excepted) sentTo.add(excepted);
    for (const {link, peerId} of this.links.values()) {
      if (peerId === undefined || sentTo.has(peerId)) continue;
      sentTo.add(peerId);
      link.send(message);
    }
  }

  /** Moves all clocks on by a time in which this process did not listen. */
  forgivePause(pausedMs: number): void {
    const nowMs = performance.now();
    for (const state of this.links.values()) {
      state.lastHeardMs = Math.min(nowMs, state.lastHeardMs + pausedMs);
    }
  }
}
