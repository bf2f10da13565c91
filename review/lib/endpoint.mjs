/**
 * Stand-in for an application endpoint beside a machine, as described in
 * PROTOCOL.md: it announces itself to the `ControlPlane` address of its machine and
 * runs requests, several at once, one at a time on a connection.
 */

import {once} from 'node:events';
import {createServer, request as httpRequest} from 'node:http';
import {HEARTBEAT_MS, PORTS} from './machine.mjs';

/** Sends one call to the `ControlPlane` address; resolves to its status or 0. */
export function callControl(machine, path, text) {
  return new Promise(resolve => {
    const call = httpRequest(
      {
        host: machine.ip,
        port: PORTS.control,
        method: 'POST',
        path,
        headers: {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(text),
        },
        timeout: 1_000,
        agent: false,
      },
      response => {
        response.resume();
        resolve(response.statusCode);
      },
    );
    call.on('timeout', () => call.destroy());
    call.on('error', () => resolve(0));
    call.end(text);
  });
}

export class Endpoint {
  /**
   * `handle(request, response, endpoint, body)` answers what is no health check.
   * It may return before the response has ended.
   */
  constructor({machine, service, zone, slots = 9, handle}) {
    this.machine = machine;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.handle = handle;
    this.incarnation = 0;
    this.state = 'ready';
    this.sockets = new Set();
  }

  async start() {
    this.incarnation += 1;
    this.id = `i-${this.service}-${this.machine.name}-${this.incarnation}`;
    this.born = Date.now();
    this.sequence = 0;
    this.isUp = true;
    this.running = 0;
    this.server = createServer((request, response) => {
      void this.serve(request, response);
    });
    this.server.keepAliveTimeout = 10_000;
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.sockets.delete(socket));
    });
    this.server.listen(PORTS.app, this.machine.ip);
    await once(this.server, 'listening');
    this.timer = setInterval(() => void this.beat(), HEARTBEAT_MS);
    void this.beat();
  }

  /** Ends at once, as a crash does. */
  crash() {
    if (!this.isUp) return;
    this.isUp = false;
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  formatHeartbeat() {
    this.sequence += 1;
    return JSON.stringify({
      Service: this.service,
      Address: `${this.machine.ip}:${PORTS.app}`,
      Zone: this.zone,
      Version: 'v1',
      Slots: this.slots,
      State: this.state,
      WarmupLeftMs: 0,
      Sequence: this.sequence,
      born: this.born,
    });
  }

  async beat() {
    const path = `/api/instances/${this.id}/heartbeat`;
    return callControl(this.machine, path, this.formatHeartbeat());
  }

  async serve(request, response) {
    if (request.url === '/health') {
      response.writeHead(this.state === 'ready' ? 200 : 503, {
        'Instance-Id': this.id,
        'Server-Load': `${this.running},0,${this.slots}`,
      });
      response.end();
      return;
    }
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const expected = request.headers['target-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {'Instance-Id': this.id}).end();
      return;
    }
    this.running += 1;
    response.on('close', () => {
      this.running -= 1;
    });
    this.handle(request, response, this, Buffer.concat(chunks));
  }

  /** Headers of an answer to a request. */
  answerHeaders(request) {
    return {
      'Request-Id': request.headers['request-id'],
      'Response-Signature': `sig.${request.headers['request-id']}`,
      'Server-Load': `${this.running},0,${this.slots}`,
    };
  }
}
