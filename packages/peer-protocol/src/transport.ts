/** Interfaces of links between daemons; implemented over WebSocket. */

import type {PeerAddress} from './addresses.js';
import type {PeerMessage} from './messages.js';

/**
 * Why a link was closed.
 *
 * - `closed`: either side closed an open link, or its connection failed.
 * - `refused`: the link never opened.
 * - `invalid-message`: the peer sent a message that could not be decoded.
 * - `overflow`: too many bytes were queued for the peer.
 */
export type LinkCloseReason =
  'closed' | 'refused' | 'invalid-message' | 'overflow';

/** A link to a peer that is open or being opened. */
export interface PeerLink {
  /**
   * Sends a message; drops it if the link is not open. Closes the link if too
   * many bytes are queued.
   */
  send(message: PeerMessage): void;
  /** Closes the link; `onClose` follows. */
  close(): void;
}

/** Handlers for the events of a link. */
export interface LinkEvents {
  onOpen(link: PeerLink): void;
  onMessage(link: PeerLink, message: PeerMessage): void;
  /** Called exactly once, even if the link never opened. */
  onClose(link: PeerLink, reason: LinkCloseReason): void;
}

/** Dials peers and accepts links from them. */
export interface PeerTransport {
  dial(address: PeerAddress, events: LinkEvents): PeerLink;
  /** Starts accepting links; resolves once the address is bound. */
  listen(address: PeerAddress, events: LinkEvents): Promise<void>;
  /** Closes all links and stops accepting new ones. */
  close(): Promise<void>;
}

/** Records the messages and bytes that a transport carries. */
export interface TransportMeter {
  onSent(messageKind: PeerMessage['kind'], bytes: number): void;
  onReceived(messageKind: PeerMessage['kind'], bytes: number): void;
}
