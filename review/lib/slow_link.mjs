/**
 * A proxy that stands for the link of a client: it passes the bytes of an answer on
 * at a given rate, and an end as an end, a reset as a reset.
 */

import {once} from 'node:events';
import {connect, createServer} from 'node:net';

const MS_PER_SECOND = 1_000;

export class SlowLink {
  constructor({host, port, bytesPerSecond}) {
    this.sockets = new Set();
    this.server = createServer({allowHalfOpen: true}, client => {
      const node = connect({host, port, allowHalfOpen: true, noDelay: true});
      let freeAtMs = 0;
      this.sockets.add(client).add(node);
      client.pipe(node);
      node.on('data', chunk => {
        node.pause();
        client.write(chunk);
        const nowMs = performance.now();
        const takesMs = (chunk.length / bytesPerSecond) * MS_PER_SECOND;
        freeAtMs = Math.max(nowMs, freeAtMs) + takesMs;
        setTimeout(() => node.resume(), freeAtMs - nowMs - 1);
      });
      node.on('end', () => client.end());
      node.on('error', () => client.resetAndDestroy());
      client.on('error', () => node.resetAndDestroy());
      client.on('close', () => node.destroy());
    });
  }

  async listen(host) {
    this.server.listen(0, host);
    await once(this.server, 'listening');
    return {host, port: this.server.address().port};
  }

  close() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
