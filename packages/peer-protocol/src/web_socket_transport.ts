/** Peer links over WebSocket. */

import type {RawData} from 'ws';
import {WebSocket} from 'ws';
import type {PeerAddress} from './addresses.js';
import {decodeMessage, encodeMessage} from './codec.js';
import type {PeerMessage} from './messages.js';
import type {
  LinkCloseReason,
  LinkEvents,
  PeerLink,
  PeerTransport,
  TransportMeter,
} from './transport.js';
import type {EndpointLimits} from './web_socket_endpoint.js';
import {
  WebSocketEndpoint,
  closeSocket,
  toFrameBytes,
} from './web_socket_endpoint.js';

const LIMITS: EndpointLimits = {
  maxFrameBytes: 16 * 1024 * 1024,
  dialTimeoutMs: 1_500,
};
/** Limit on bytes queued for a peer that does not read from its socket. */
const MAX_BUFFERED_BYTES = 32 * 1024 * 1024;
const CLOSE_GRACE_MS = 500;

/** WebSocket implementation of {@link PeerTransport}. */
export class WebSocketTransport implements PeerTransport {
  private readonly endpoint: WebSocketEndpoint<PeerLink, LinkEvents>;

  constructor(meter: TransportMeter) {
    this.endpoint = new WebSocketEndpoint(
      LIMITS,
      (socket, events) => new WebSocketLink(socket, meter, events),
    );
  }

  dial(address: PeerAddress, events: LinkEvents): PeerLink {
    return this.endpoint.dial(address, events);
  }

  listen(address: PeerAddress, events: LinkEvents): Promise<void> {
    return this.endpoint.listen(address, events);
  }

  close(): Promise<void> {
    return this.endpoint.close();
  }
}

class WebSocketLink implements PeerLink {
  private closeReason: LinkCloseReason = 'refused';

  constructor(
    private readonly socket: WebSocket,
    private readonly meter: TransportMeter,
    private readonly events: LinkEvents,
  ) {
    if (socket.readyState === WebSocket.OPEN) this.closeReason = 'closed';
    socket.on('open', () => this.handleOpen());
    socket.on('message', data => this.handleFrame(data));
    // A failed socket emits 'close' as well, where the link is cleaned up.
    socket.on('error', () => undefined);
    socket.on('close', () => events.onClose(this, this.closeReason));
  }

  send(message: PeerMessage): void {
    if (this.socket.readyState !== WebSocket.OPEN) return;
    if (this.socket.bufferedAmount > MAX_BUFFERED_BYTES) {
      this.abort('overflow');
      return;
    }
    const frame = encodeMessage(message);
    this.meter.onSent(message.kind, frame.byteLength);
    this.socket.send(frame);
  }

  close(): void {
    closeSocket(this.socket, CLOSE_GRACE_MS);
  }

  private handleOpen(): void {
    this.closeReason = 'closed';
    this.events.onOpen(this);
  }

  private handleFrame(data: RawData): void {
    const frame = toFrameBytes(data);
    const decoded = decodeMessage(frame);
    if (decoded.isErr()) {
      this.abort('invalid-message');
      return;
    }
    const message = decoded.value;
    this.meter.onReceived(message.kind, frame.byteLength);
    this.events.onMessage(this, message);
  }

  private abort(reason: LinkCloseReason): void {
    this.closeReason = reason;
    this.socket.terminate();
  }
}
