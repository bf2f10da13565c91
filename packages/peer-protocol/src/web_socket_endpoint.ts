/** Dials and accepts WebSockets; what runs over them is up to the link. */

import {once} from 'node:events';
import type {RawData} from 'ws';
import {WebSocket, WebSocketServer} from 'ws';
import {splitAddress} from './addresses.js';

/** Bounds of an endpoint. */
export interface EndpointLimits {
  readonly maxFrameBytes: number;
  readonly dialTimeoutMs: number;
}

/** Makes the link over a socket. */
export type NewLink<Link, Events> = (socket: WebSocket, events: Events) => Link;

/** Keeps the links of one transport. */
export class WebSocketEndpoint<
  Link extends {close(): void},
  Events extends {onOpen(link: Link): void},
> {
  private readonly links = new Set<Link>();
  private server: WebSocketServer | undefined;

  constructor(
    private readonly limits: EndpointLimits,
    private readonly newLink: NewLink<Link, Events>,
  ) {}

  /** Opens a link. */
  dial(address: string, events: Events): Link {
    const socket = new WebSocket(`ws://${address}`, {
      handshakeTimeout: this.limits.dialTimeoutMs,
      maxPayload: this.limits.maxFrameBytes,
      perMessageDeflate: false,
    });
    return this.track(socket, events);
  }

  /** Accepts links. */
  async listen(address: string, events: Events): Promise<void> {
    const server = new WebSocketServer({
      ...splitAddress(address),
      maxPayload: this.limits.maxFrameBytes,
      perMessageDeflate: false,
    });
    this.server = server;
    server.on('connection', socket => {
      events.onOpen(this.track(socket, events));
    });
    await once(server, 'listening');
  }

  /** Ends all links and accepts no more. */
  async close(): Promise<void> {
    for (const link of [...this.links]) link.close();
    const {server} = this;
    if (!server) return;
    await new Promise(resolve => server.close(resolve));
  }

  private track(socket: WebSocket, events: Events): Link {
    const link = this.newLink(socket, events);
    this.links.add(link);
    socket.on('close', () => this.links.delete(link));
    return link;
  }
}

/** Closes a socket in an orderly way, or breaks it off after a while. */
export function closeSocket(socket: WebSocket, graceMs: number): void {
  if (socket.readyState === WebSocket.CONNECTING) {
    socket.terminate();
    return;
  }
  socket.close();
  setTimeout(() => socket.terminate(), graceMs).unref();
}

/** Joins what `ws` delivers into one run of bytes. */
export function toFrameBytes(data: RawData): Uint8Array {
  if (Array.isArray(data)) return Buffer.concat(data);
  if (data instanceof ArrayBuffer) return new Uint8Array(data);
  return data;
}
