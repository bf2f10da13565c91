/** Dials and accepts WebSockets; each kind of link has its own protocol. */

import {once} from 'node:events';
import type {IncomingHttpHeaders} from 'node:http';
import type {RawData} from 'ws';
import {WebSocket, WebSocketServer} from 'ws';
import {splitAddress} from './addresses.js';

/** Limits of an endpoint. */
export interface EndpointLimits {
  readonly maxFrameBytes: number;
  readonly dialTimeoutMs: number;
  /** Header by which both sides of a new link name a feature, if they have it. */
  readonly featureHeader?: string;
}

/** Creates a link on top of a socket. */
export type LinkFactory<Link, Events> = (
  socket: WebSocket,
  events: Events,
  /** Whether the other side has the feature; known once the link is open. */
  hasFeature: () => boolean,
) => Link;

/** Opens, accepts and tracks the links of one transport. */
export class WebSocketEndpoint<
  Link extends {close(): void},
  Events extends {onOpen(link: Link): void},
> {
  private readonly links = new Set<Link>();
  private server: WebSocketServer | undefined;

  constructor(
    private readonly limits: EndpointLimits,
    private readonly createLink: LinkFactory<Link, Events>,
  ) {}

  dial(address: string, events: Events): Link {
    const {featureHeader} = this.limits;
    const socket = new WebSocket(`ws://${address}`, {
      handshakeTimeout: this.limits.dialTimeoutMs,
      maxPayload: this.limits.maxFrameBytes,
      perMessageDeflate: false,
      headers: featureHeader === undefined ? {} : {[featureHeader]: '1'},
    });
    let hasFeature = false;
    socket.once('upgrade', ({headers}) => {
      hasFeature = namesFeature(headers, featureHeader);
    });
    return this.track(socket, events, () => hasFeature);
  }

  /** Returns the links that are open or being opened. */
  getLinks(): Iterable<Link> {
    return this.links;
  }

  /** Starts accepting links; resolves once the address is bound. */
  async listen(address: string, events: Events): Promise<void> {
    const server = new WebSocketServer({
      ...splitAddress(address),
      maxPayload: this.limits.maxFrameBytes,
      perMessageDeflate: false,
    });
    this.server = server;
    const {featureHeader} = this.limits;
    server.on('headers', headers => {
      if (featureHeader !== undefined) headers.push(`${featureHeader}: 1`);
    });
    server.on('connection', (socket, {headers}) => {
      const hasFeature = namesFeature(headers, featureHeader);
      events.onOpen(this.track(socket, events, () => hasFeature));
    });
    await once(server, 'listening');
  }

  /** Closes all links and stops accepting new ones. */
  async close(): Promise<void> {
    for (const link of [...this.links]) link.close();
    const {server} = this;
    if (!server) return;
    await new Promise(resolve => server.close(resolve));
  }

  private track(
    socket: WebSocket,
    events: Events,
    hasFeature: () => boolean,
  ): Link {
    const link = this.createLink(socket, events, hasFeature);
    this.links.add(link);
    socket.on('close', () => this.links.delete(link));
    return link;
  }
}

function namesFeature(
  headers: IncomingHttpHeaders,
  featureHeader: string | undefined,
): boolean {
  return featureHeader !== undefined && headers[featureHeader] !== undefined;
}

/**
 * Closes a socket gracefully and terminates it after the grace period; one that
 * is still connecting is terminated at once.
 */
export function closeSocket(socket: WebSocket, graceMs: number): void {
  if (socket.readyState === WebSocket.CONNECTING) {
    socket.terminate();
    return;
  }
  socket.close();
  setTimeout(() => socket.terminate(), graceMs).unref();
}

/** Converts the payload types of `ws` to one byte array. */
export function toFrameBytes(data: RawData): Uint8Array {
  if (Array.isArray(data)) return Buffer.concat(data);
  if (data instanceof ArrayBuffer) return new Uint8Array(data);
  return data;
}
