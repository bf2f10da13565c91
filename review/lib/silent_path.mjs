/**
 * A proxy that stands for a network path on which open connections can go silent
 * for good, without a reset, while new ones work (DEPLOY.md, Clocks).
 */

import {once} from 'node:events';
import {connect, createServer} from 'node:net';

export class SilentPath {
  constructor({host, port}) {
    this.pairs = new Set();
    this.server = createServer(near => {
      const far = connect({host, port, noDelay: true});
      near.setNoDelay(true);
      const pair = {near, far, isSilent: false, lastByteMs: performance.now()};
      this.pairs.add(pair);
      const pass = (from, to) => {
        from.on('data', chunk => {
          pair.lastByteMs = performance.now();
          if (!pair.isSilent) to.write(chunk);
        });
        from.on('error', () => undefined);
        from.on('close', () => {
          if (!pair.isSilent) to.destroy();
          if (near.destroyed && far.destroyed) this.pairs.delete(pair);
        });
      };
      pass(near, far);
      pass(far, near);
    });
  }

  async listen(host) {
    this.server.listen(0, host);
    await once(this.server, 'listening');
    this.address = `${host}:${this.server.address().port}`;
  }

  /** Silences the connections that have been idle; returns their number. */
  silenceIdle(idleMs) {
    const beforeMs = performance.now() - idleMs;
    let count = 0;
    for (const pair of this.pairs) {
      if (pair.isSilent || pair.lastByteMs > beforeMs) continue;
      pair.isSilent = true;
      count += 1;
    }
    return count;
  }

  countOpen() {
    return this.pairs.size;
  }

  close() {
    this.server.close();
    for (const {near, far} of this.pairs) {
      near.destroy();
      far.destroy();
    }
  }
}
