/** Links between entries and gates over WebSocket. */

import type {RawData} from 'ws';
import {WebSocket} from 'ws';
import type {GateAddress} from './addresses.js';
import type {RelayFrame} from './relay_frames.js';
import {decodeRelayFrame, encodeRelayFrame} from './relay_frames.js';
import type {EndpointLimits} from './web_socket_endpoint.js';
import {
  WebSocketEndpoint,
  closeSocket,
  toFrameBytes,
} from './web_socket_endpoint.js';

const LIMITS: EndpointLimits = {
  // Fits a body at the largest limit expected for callers, or a response of
  // 64 MiB, the most that a gate buffers, and the headers. The schema of caller
  // limits allows larger bodies, which do not fit.
  maxFrameBytes: 96 * 1024 * 1024,
  // Two round trips between distant regions plus one retransmitted packet.
  dialTimeoutMs: 700,
};
/** Limit on bytes queued for a peer that does not read from its socket. */
const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;
const CLOSE_GRACE_MS = 300;

/** A link that is open or being opened. */
export interface RelayLink {
  /**
   * Sends a frame; `false` if the link is not open. Terminates the link and
   * returns `false` if too many bytes are queued.
   */
  send(frame: RelayFrame): boolean;
  /** Closes the link gracefully; `onClose` follows. */
  close(): void;
  /** Terminates the link without a closing handshake. */
  abort(): void;
}

/** Handlers for the events of a link. */
export interface RelayLinkEvents {
  onOpen(link: RelayLink): void;
  onFrame(link: RelayLink, frame: RelayFrame): void;
  /** Called exactly once, even if the link never opened. */
  onClose(link: RelayLink): void;
}

/** Dials gates and accepts links from entries. */
export interface RelayTransport {
  dial(address: GateAddress, events: RelayLinkEvents): RelayLink;
  listen(address: GateAddress, events: RelayLinkEvents): Promise<void>;
  /** Bytes of sent frames that have not been handed to the operating system. */
  getBufferedBytes(): number;
  /** Closes all links; frames sent before are delivered to peers that respond. */
  close(): Promise<void>;
}

/** WebSocket implementation of {@link RelayTransport}. */
export class WebSocketRelayTransport implements RelayTransport {
  private readonly endpoint = new WebSocketEndpoint<
    WebSocketRelayLink,
    RelayLinkEvents
  >(LIMITS, (socket, events) => new WebSocketRelayLink(socket, events));

  dial(address: GateAddress, events: RelayLinkEvents): RelayLink {
    return this.endpoint.dial(address, events);
  }

  listen(address: GateAddress, events: RelayLinkEvents): Promise<void> {
    return this.endpoint.listen(address, events);
  }

  getBufferedBytes(): number {
    let bytes = 0;
    for (const link of this.endpoint.getLinks()) bytes += link.bufferedBytes;
    return bytes;
  }

  close(): Promise<void> {
    return this.endpoint.close();
  }
}

class WebSocketRelayLink implements RelayLink {
  constructor(
    private readonly socket: WebSocket,
    private readonly events: RelayLinkEvents,
  ) {
    socket.on('open', () => events.onOpen(this));
    socket.on('message', data => this.handleFrame(data));
    // A failed socket emits 'close' as well, where the link is cleaned up.
    socket.on('error', () => undefined);
    socket.on('close', () => events.onClose(this));
  }

  get bufferedBytes(): number {
    return this.socket.bufferedAmount;
  }

  send(frame: RelayFrame): boolean {
    if (this.socket.readyState !== WebSocket.OPEN) return false;
    if (this.socket.bufferedAmount > MAX_BUFFERED_BYTES) {
      this.socket.terminate();
      return false;
    }
    this.socket.send(encodeRelayFrame(frame));
    return true;
  }

  close(): void {
    closeSocket(this.socket, CLOSE_GRACE_MS);
  }

  abort(): void {
    this.socket.terminate();
  }

  private handleFrame(data: RawData): void {
    const frame = decodeRelayFrame(toFrameBytes(data));
    if (frame.isErr()) {
      this.socket.terminate();
      return;
    }
    this.events.onFrame(this, frame.value);
  }
}
