/**
 * Stand-in for a client on a machine: an HTTP/1.1 connection to the `Outbound`
 * address that may carry several requests before the first answer. It reads each
 * answer by its framing and reports how the connection ended.
 */

import {connect} from 'node:net';
import {PORTS} from './machine.mjs';

let lastId = 0;

/** Returns a new `Request-Id`; each attempt of a client has its own. */
export function newRequestId() {
  lastId += 1;
  return `${process.pid.toString(16)}${lastId.toString(16).padStart(8, '0')}`;
}

export class Connection {
  constructor(machine, options = {}) {
    this.socket = connect({
      host: options.host ?? machine.ip,
      port: options.port ?? PORTS.outbound,
      noDelay: true,
    });
    this.pending = [];
    this.buffer = Buffer.alloc(0);
    this.isOpen = true;
    this.closesAfter = undefined;
    this.socket.on('data', chunk => {
      this.buffer = Buffer.concat([this.buffer, chunk]);
      this.parse();
    });
    this.socket.on('error', error => {
      this.error = error.code;
    });
    this.socket.on('end', () => {
      this.hasEnded = true;
      this.socket.end();
    });
    this.socket.on('close', () => this.handleClose());
  }

  /**
   * Sends a request; resolves to its answer. `status` is 0 if the connection
   * ended without a complete answer.
   */
  send({method = 'GET', host, path, deadlineMs, body = '', headers = {}}) {
    const id = newRequestId();
    const lines = [
      `${method} ${path} HTTP/1.1`,
      `Host: ${host}.example`,
      `Request-Id: ${id}`,
      `Deadline-Ms: ${deadlineMs}`,
      ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    ];
    if (body.length > 0) lines.push(`Content-Length: ${body.length}`);
    this.socket.write(`${lines.join('\r\n')}\r\n\r\n`);
    if (body.length > 0) this.socket.write(body);
    return new Promise(resolve => {
      this.pending.push({id, path, sentAtMs: performance.now(), resolve});
    });
  }

  close() {
    this.socket.destroy();
  }

  settle(answer) {
    const call = this.pending.shift();
    const tookMs = Math.round(performance.now() - call.sentAtMs);
    call.resolve({id: call.id, path: call.path, tookMs, ...answer});
  }

  parse() {
    while (this.pending.length > 0) {
      const headEnd = this.buffer.indexOf('\r\n\r\n');
      if (headEnd < 0) return;
      const [statusLine, ...lines] = this.buffer
        .subarray(0, headEnd)
        .toString('latin1')
        .split('\r\n');
      const headers = new Map(
        lines.map(line => {
          const colon = line.indexOf(':');
          return [
            line.slice(0, colon).toLowerCase(),
            line.slice(colon + 1).trim(),
          ];
        }),
      );
      const status = Number(statusLine.split(' ')[1]);
      const length = headers.get('content-length');
      const body = this.buffer.subarray(headEnd + 4);
      const isChunked = headers.get('transfer-encoding') === 'chunked';
      if (isChunked) {
        const chunked = readChunks(body);
        if (!chunked) return;
        this.buffer = body.subarray(chunked.consumed);
        this.settle({status, headers, body: chunked.body});
        continue;
      }
      if (length === undefined && status !== 204 && status !== 304) {
        // The body ends with the connection.
        this.untilClose = {status, headers};
        return;
      }
      const bytes = Number(length ?? 0);
      if (body.length < bytes) return;
      this.buffer = body.subarray(bytes);
      this.settle({status, headers, body: body.subarray(0, bytes)});
    }
  }

  handleClose() {
    this.isOpen = false;
    if (this.untilClose && this.hasEnded && this.error === undefined) {
      const headEnd = this.buffer.indexOf('\r\n\r\n');
      this.settle({
        ...this.untilClose,
        body: this.buffer.subarray(headEnd + 4),
      });
    }
    while (this.pending.length > 0) {
      this.settle({status: 0, headers: new Map(), error: this.error});
    }
  }
}

function readChunks(bytes) {
  const parts = [];
  let offset = 0;
  for (;;) {
    const lineEnd = bytes.indexOf('\r\n', offset);
    if (lineEnd < 0) return undefined;
    const size = Number.parseInt(
      bytes.subarray(offset, lineEnd).toString('latin1'),
      16,
    );
    const start = lineEnd + 2;
    if (bytes.length < start + size + 2) return undefined;
    parts.push(bytes.subarray(start, start + size));
    offset = start + size + 2;
    if (size === 0) return {body: Buffer.concat(parts), consumed: offset};
  }
}

/** Sends one request on a connection of its own. */
export async function sendOnce(machine, request, options) {
  const connection = new Connection(machine, options);
  const answer = await connection.send(request);
  connection.close();
  return answer;
}
