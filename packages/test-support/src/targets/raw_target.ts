/** Target that writes scripted bytes and then ends its connection. */

import {once} from 'node:events';
import type {AddressInfo, Socket} from 'node:net';
import {createServer} from 'node:net';

/** How a target ends a connection; `open` keeps it. */
export type ConnectionEnd = 'fin' | 'reset' | 'open';

/** Bytes that a target writes for one request. */
export interface RawResponse {
  readonly bytes: string;
  readonly end: ConnectionEnd;
  /** Number of bytes that are sent ahead of the others; all at once if absent. */
  readonly firstBytes?: number;
}

const HOST = '127.0.0.1';
/** Time for a receiver to read what was written before a reset. */
const RESET_DELAY_MS = 2;
/** Time for a receiver to read the first part of a response. */
const PART_DELAY_MS = 2;

/** Answers each request, read as one block of data, with the next response. */
export class RawTarget {
  /** Number of connections accepted so far. */
  connectionCount = 0;
  private readonly responses: RawResponse[] = [];
  private readonly sockets = new Set<Socket>();
  private readonly server = createServer(socket => this.serve(socket));

  async start(): Promise<void> {
    this.server.listen(0, HOST);
    await once(this.server, 'listening');
  }

  /** Closes all connections. */
  stop(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  /** Returns `host:port`. */
  getAddress(): string {
    const {port} = this.server.address() as AddressInfo;
    return `${HOST}:${port}`;
  }

  /** Replaces the responses to further requests. */
  script(...responses: readonly RawResponse[]): void {
    this.responses.splice(0, Infinity, ...responses);
  }

  private serve(socket: Socket): void {
    this.connectionCount += 1;
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
    socket.on('error', () => undefined);
    socket.on('data', () => this.respond(socket));
  }

  private respond(socket: Socket): void {
    const response = this.responses.shift();
    if (!response) {
      socket.destroy();
      return;
    }
    const {bytes, firstBytes = 0} = response;
    if (firstBytes > 0) {
      socket.write(bytes.slice(0, firstBytes), 'latin1');
      setTimeout(
        () => this.finish(socket, bytes.slice(firstBytes), response.end),
        PART_DELAY_MS,
      );
    } else this.finish(socket, bytes, response.end);
  }

  private finish(socket: Socket, bytes: string, end: ConnectionEnd): void {
    if (end === 'fin') socket.end(bytes, 'latin1');
    else socket.write(bytes, 'latin1');
    if (end !== 'reset') return;
    setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
  }
}
