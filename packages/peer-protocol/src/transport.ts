/** Links between daemons as seen by their users; implemented over WebSocket. */

import type {PeerAddress} from './addresses.js';
import type {PeerMessage} from './messages.js';

/** Why a link ended. */
export type LinkCloseReason =
  'closed' | 'refused' | 'invalid-message' | 'overflow';

/** An open or opening connection to one peer. */
export interface PeerLink {
  /** Sends a message; messages to a link that is not open are dropped. */
  send(message: PeerMessage): void;
  /** Ends the link; `onClose` follows. */
  close(): void;
}

/** Receives the events of one link. */
export interface LinkEvents {
  onOpen(link: PeerLink): void;
  onMessage(link: PeerLink, message: PeerMessage): void;
  /** Called once, also for a link that never opened. */
  onClose(link: PeerLink, reason: LinkCloseReason): void;
}

/** Dials peers and accepts links from them. */
export interface PeerTransport {
  /** Opens a link to a peer. */
  dial(address: PeerAddress, events: LinkEvents): PeerLink;
  /** Starts accepting links; resolves when the address is bound. */
  listen(address: PeerAddress, events: LinkEvents): Promise<void>;
  /** Ends all links and stops accepting. */
  close(): Promise<void>;
}

/** Counts the traffic of a transport. */
export interface TransportMeter {
  onSent(messageKind: PeerMessage['kind'], bytes: number): void;
  onReceived(messageKind: PeerMessage['kind'], bytes: number): void;
}
