/** Target that answers a request at its first bytes, while the rest is being written. */

import {once} from 'node:events';
import type {AddressInfo, Socket} from 'node:net';
import {createServer} from 'node:net';

/**
 * What a target does after its early response: `reset` aborts the connection,
 * `fin` closes it, `read-on` reads the rest of the request and keeps it open, and
 * `end-and-read-on` ends its own side first.
 */
export type EarlyEnd = 'reset' | 'fin' | 'read-on' | 'end-and-read-on';

const HOST = '127.0.0.1';
/** Time in which the buffers of the connection fill up. */
const END_DELAY_MS = 10;

/** Answers each connection once, without having read the request. */
export class UploadTarget {
  connectionCount = 0;
  /** Bytes of requests received over all connections. */
  readonly received: Buffer[] = [];
  private readonly sockets = new Set<Socket>();
  private readonly server = createServer({allowHalfOpen: true}, socket => {
    this.serve(socket);
  });

  constructor(
    private readonly bytes: string,
    private readonly end: EarlyEnd,
    /** Whether it reads on from the start, so that writes go on. */
    private readonly isReading: boolean,
  ) {}

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

  private serve(socket: Socket): void {
    this.connectionCount += 1;
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
    socket.on('error', () => undefined);
    socket.on('data', (chunk: Buffer) => this.received.push(chunk));
    socket.once('data', () => {
      if (!this.isReading) socket.pause();
      socket.write(this.bytes, 'latin1');
      setTimeout(() => this.finish(socket), END_DELAY_MS);
    });
  }

  private finish(socket: Socket): void {
    switch (this.end) {
      case 'reset':
        socket.resetAndDestroy();
        return;
      case 'fin':
        socket.destroy();
        return;
      case 'read-on':
        socket.resume();
        return;
      case 'end-and-read-on':
        socket.end();
        socket.resume();
        return;
    }
  }
}
