/** Links between entries and gates over WebSocket. */

import {once} from 'node:events';
import type {RawData} from 'ws';
import {WebSocket, WebSocketServer} from 'ws';
import type {GateAddress} from './addresses.js';
import type {RelayFrame} from './relay_frames.js';
import {decodeRelayFrame, encodeRelayFrame} from './relay_frames.js';

/** Largest frame: a body at the largest limit of callers, with its headers. */
const MAX_FRAME_BYTES = 96 * 1024 * 1024;
/** Bound on bytes that wait for a peer that does not read. */
const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;
/** Two round trips between far regions, with room for a lost packet. */
const DIAL_TIMEOUT_MS = 700;
const CLOSE_GRACE_MS = 300;

/** An open or opening link. */
export interface RelayLink {
  /** Sends a frame; `false` if the link is not open. */
  send(frame: RelayFrame): boolean;
  /** Ends the link in an orderly way; `onClose` follows. */
  close(): void;
  /** Ends the link at once. */
  abort(): void;
}

/** Receives the events of one link. */
export interface RelayLinkEvents {
  onOpen(link: RelayLink): void;
  onFrame(link: RelayLink, frame: RelayFrame): void;
  /** Called once, also for a link that never opened. */
  onClose(link: RelayLink): void;
}

/** Dials gates and accepts links from entries. */
export interface RelayTransport {
  dial(address: GateAddress, events: RelayLinkEvents): RelayLink;
  listen(address: GateAddress, events: RelayLinkEvents): Promise<void>;
  close(): Promise<void>;
}

/** WebSocket implementation of {@link RelayTransport}. */
export class WebSocketRelayTransport implements RelayTransport {
  private readonly links = new Set<WebSocketRelayLink>();
  private server: WebSocketServer | undefined;

  dial(address: GateAddress, events: RelayLinkEvents): RelayLink {
    const socket = new WebSocket(`ws://${address}`, {
      handshakeTimeout: DIAL_TIMEOUT_MS,
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
    });
    return this.track(socket, events);
  }

  async listen(address: GateAddress, events: RelayLinkEvents): Promise<void> {
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
    const {server} = this;
    if (!server) return;
    await new Promise(resolve => server.close(resolve));
  }

  private track(
    socket: WebSocket,
    events: RelayLinkEvents,
  ): WebSocketRelayLink {
    const link = new WebSocketRelayLink(socket, events);
    this.links.add(link);
    socket.on('close', () => this.links.delete(link));
    return link;
  }
}

class WebSocketRelayLink implements RelayLink {
  constructor(
    private readonly socket: WebSocket,
    private readonly events: RelayLinkEvents,
  ) {
    socket.on('open', () => events.onOpen(this));
    socket.on('message', data => this.handleFrame(data));
    // A failed socket also emits 'close', which ends the link.
    socket.on('error', () => undefined);
    socket.on('close', () => events.onClose(this));
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
    if (this.socket.readyState === WebSocket.CONNECTING) {
      this.socket.terminate();
      return;
    }
    this.socket.close();
    setTimeout(() => this.socket.terminate(), CLOSE_GRACE_MS).unref();
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

/** Joins what `ws` delivers into one run of bytes. */
export function toFrameBytes(data: RawData): Uint8Array {
  if (Array.isArray(data)) return Buffer.concat(data);
  if (data instanceof ArrayBuffer) return new Uint8Array(data);
  return data;
}
