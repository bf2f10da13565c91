/** Links between entries and gates over WebSocket. */

import type {RawData} from 'ws';
import {WebSocket} from 'ws';
import type {GateAddress} from './addresses.js';
import type {BodyFrame, BodyMemory} from './body_transfers.js';
import {
  IncomingTransfers,
  OutgoingTransfers,
  UNBOUNDED_BODY_MEMORY,
  isTransferMessage,
  toLongFrame,
} from './body_transfers.js';
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
  // Older versions take only frames with their body.
  featureHeader: 'x-body-parts',
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
  private readonly endpoint: WebSocketEndpoint<
    WebSocketRelayLink,
    RelayLinkEvents
  >;

  constructor(memory: BodyMemory = UNBOUNDED_BODY_MEMORY) {
    this.endpoint = new WebSocketEndpoint(
      LIMITS,
      (socket, events, takesParts) =>
        new WebSocketRelayLink(socket, events, memory, takesParts),
    );
  }

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

  /** Buffered bytes that are no body of an offer, which its entry holds. */
  getUnheldBytes(): number {
    let bytes = 0;
    for (const link of this.endpoint.getLinks()) bytes += link.unheldBytes;
    return bytes;
  }

  close(): Promise<void> {
    return this.endpoint.close();
  }
}

class WebSocketRelayLink implements RelayLink {
  private readonly outgoing: OutgoingTransfers;
  private readonly incoming: IncomingTransfers;

  constructor(
    private readonly socket: WebSocket,
    private readonly events: RelayLinkEvents,
    memory: BodyMemory,
    private readonly takesParts: () => boolean,
  ) {
    this.outgoing = new OutgoingTransfers(socket, memory);
    this.incoming = new IncomingTransfers(memory, LIMITS.maxFrameBytes);
    socket.on('open', () => events.onOpen(this));
    socket.on('message', data => this.handleFrame(data));
    // A failed socket emits 'close' as well, where the link is cleaned up.
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.outgoing.clear();
      this.incoming.clear();
      events.onClose(this);
    });
  }

  get bufferedBytes(): number {
    return this.socket.bufferedAmount + this.outgoing.countBytes();
  }

  get unheldBytes(): number {
    return this.socket.bufferedAmount + this.outgoing.countBytes('answer');
  }

  send(frame: RelayFrame): boolean {
    if (this.socket.readyState !== WebSocket.OPEN) return false;
    const isFull =
      this.socket.bufferedAmount > MAX_BUFFERED_BYTES ||
      this.outgoing.countBytes('answer') > MAX_BUFFERED_BYTES;
    if (isFull) {
      this.socket.terminate();
      return false;
    }
    // The offer of a cancelled transfer never arrives.
    const isCancelled =
      frame.kind === 'cancel' && this.outgoing.cancel(frame.callId);
    if (isCancelled) return true;
    const longFrame = this.takesParts() ? toLongFrame(frame) : undefined;
    if (longFrame) this.outgoing.send(longFrame);
    else this.socket.send(encodeRelayFrame(frame));
    return true;
  }

  close(): void {
    const close = () => closeSocket(this.socket, CLOSE_GRACE_MS);
    if (this.outgoing.countBytes() === 0) {
      close();
      return;
    }
    this.outgoing.whenDone(close);
    setTimeout(() => this.socket.terminate(), CLOSE_GRACE_MS).unref();
  }

  abort(): void {
    this.socket.terminate();
  }

  private handleFrame(data: RawData): void {
    const bytes = toFrameBytes(data);
    if (isTransferMessage(bytes)) {
      this.handleTransfer(bytes);
      return;
    }
    const frame = decodeRelayFrame(bytes);
    if (frame.isErr()) {
      this.socket.terminate();
      return;
    }
    this.events.onFrame(this, frame.value);
  }

  private handleTransfer(message: Uint8Array): void {
    const result = this.incoming.receive(message);
    switch (result.kind) {
      case 'invalid':
        this.socket.terminate();
        return;
      case 'pending':
        return;
      case 'frame':
        if (result.hasBody) this.events.onFrame(this, result.frame);
        else this.handleNoMemory(result.frame);
        result.release();
        return;
    }
  }

  // An offer that does not fit is not run; the answer to one that has run is lost.
  private handleNoMemory({kind, callId}: BodyFrame): void {
    const load = {waitMs: 0, runMs: -1};
    if (kind === 'offer') {
      const reason = 'no-memory';
      this.send({kind: 'refusal', callId, reason, hasArrived: false, ...load});
    } else {
      const reason = 'answer-too-large';
      this.events.onFrame(this, {kind: 'loss', callId, reason, ...load});
    }
  }
}
