/** Peer links over WebSocket. The only module that uses `ws`. */

import {once} from 'node:events';
import type {RawData} from 'ws';
import {WebSocket, WebSocketServer} from 'ws';
import type {PeerAddress} from './addresses.js';
import {decodeMessage, encodeMessage} from './codec.js';
import type {PeerMessage} from './messages.js';
import {toFrameBytes} from './relay_transport.js';
import type {
  LinkCloseReason,
  LinkEvents,
  PeerLink,
  PeerTransport,
  TransportMeter,
} from './transport.js';

const MAX_FRAME_BYTES = 16 * 1024 * 1024;
const MAX_BUFFERED_BYTES = 32 * 1024 * 1024;
const DIAL_TIMEOUT_MS = 1_500;
const CLOSE_GRACE_MS = 500;

/** WebSocket implementation of {@link PeerTransport}. */
export class WebSocketTransport implements PeerTransport {
  private readonly links = new Set<WebSocketLink>();
  private server: WebSocketServer | undefined;

  constructor(private readonly meter: TransportMeter) {}

  dial(address: PeerAddress, events: LinkEvents): PeerLink {
    const socket = new WebSocket(`ws://${address}`, {
      handshakeTimeout: DIAL_TIMEOUT_MS,
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
    });
    return this.track(socket, events);
  }

  async listen(address: PeerAddress, events: LinkEvents): Promise<void> {
    const separator = address.lastIndexOf(':');
    const server = new WebSocketServer({
      host: address.slice(0, separator),
      port: Number(address.slice(separator + 1)),
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
    });
    this.server = server;
    server.on('connection', socket => {
      const link = this.track(socket, events);
      events.onOpen(link);
    });
    await once(server, 'listening');
  }

  async close(): Promise<void> {
    for (const link of [...this.links]) link.close();
    const server = this.server;
    if (!server) return;
    await new Promise(resolve => server.close(resolve));
  }

  private track(socket: WebSocket, events: LinkEvents): WebSocketLink {
    const link = new WebSocketLink(socket, this.meter, events);
    this.links.add(link);
    socket.on('close', () => this.links.delete(link));
    return link;
  }
}

/** One link over one socket. */
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
    // A failed socket also emits 'close', which ends the link.
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
    if (this.socket.readyState === WebSocket.CONNECTING) {
      this.socket.terminate();
      return;
    }
    this.socket.close();
    setTimeout(() => this.socket.terminate(), CLOSE_GRACE_MS).unref();
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
