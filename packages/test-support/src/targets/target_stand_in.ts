/**
 * Stand-in for a target: answers what its query asks for, reports each run
 * and announces itself to its daemon.
 */

import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {request as sendRequest} from 'undici';
import {pause} from '../pause.js';

/** How a target stands in. */
export interface TargetStandInOptions {
  readonly serviceId: string;
  readonly slots: number;
  readonly connections: number;
  readonly warmUpMs: number;
  /** Base URL of the daemon's operator port. */
  readonly operatorUrl: string;
  readonly announceMs: number;
}

/** One request as a target began to run it. */
export interface TargetRun {
  readonly requestId: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
}

/** Reports runs and carries out the crashes that requests ask for. */
export interface TargetEvents {
  onRun(run: TargetRun): void;
  onCrash(): void;
}

/** Header by which tests tell requests apart. */
export const REQUEST_ID_HEADER = 'x-request-id';

const MAX_BODY_BYTES = 4 * 1024 * 1024;

/**
 * Understands the query parameters `delay` (ms), `size` (bytes of answer),
 * `status`, `crash`, `chunked` (no stated length) and `cut` (bytes of the
 * answer before it breaks).
 */
export class TargetStandIn {
  private readonly server = createServer((request, response) => {
    void this.handle(request, response);
  });
  private announceTimer: NodeJS.Timeout | undefined;
  private port = 0;

  constructor(
    private readonly options: TargetStandInOptions,
    private readonly events: TargetEvents,
  ) {}

  /** Listens and begins to announce itself. */
  async start(): Promise<void> {
    this.server.keepAliveTimeout = 60_000;
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    this.port = (this.server.address() as AddressInfo).port;
    await this.announce();
    this.announceTimer = setInterval(
      () => void this.announce(),
      this.options.announceMs,
    );
  }

  /** Withdraws from the daemon, which drains it, then stops. */
  async drain(): Promise<void> {
    clearInterval(this.announceTimer);
    const url = `${this.options.operatorUrl}/v1/target`;
    const answer = await sendRequest(url, {method: 'DELETE'});
    await answer.body.dump();
    await this.stop();
  }

  /** Stops at once. */
  async stop(): Promise<void> {
    clearInterval(this.announceTimer);
    this.server.close();
    this.server.closeAllConnections();
    await once(this.server, 'close');
  }

  private async announce(): Promise<void> {
    const {serviceId, slots, connections, warmUpMs} = this.options;
    const address = `127.0.0.1:${this.port}`;
    const body = {serviceId, address, slots, connections, warmUpMs};
    try {
      const url = `${this.options.operatorUrl}/v1/target`;
      const answer = await sendRequest(url, {
        method: 'PUT',
        body: JSON.stringify(body),
      });
      await answer.body.dump();
    } catch {
      // The daemon is not there now; the next announcement may reach it.
    }
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = request.url ?? '/';
    const query = new URL(path, 'http://target').searchParams;
    const requestId = String(request.headers[REQUEST_ID_HEADER] ?? '');
    const body = await readBody(request);
    if (body === undefined) return;
    this.events.onRun({requestId, method: request.method ?? '', path});
    if (query.has('crash')) {
      this.events.onCrash();
      return;
    }
    const delayMs = Number(query.get('delay') ?? 0);
    if (delayMs > 0) await pause(delayMs);
    this.answer(response, query, requestId, body);
  }

  private answer(
    response: ServerResponse,
    query: URLSearchParams,
    requestId: string,
    body: Buffer,
  ): void {
    const size = Number(query.get('size') ?? 0);
    const answer = size > 0 ? Buffer.alloc(size, requestId || 'x') : body;
    response.writeHead(Number(query.get('status') ?? 200), {
      [REQUEST_ID_HEADER]: requestId,
      ...(query.has('chunked') ? {} : {'content-length': answer.byteLength}),
    });
    const cut = query.get('cut');
    if (cut === null) {
      response.end(answer);
      return;
    }
    response.write(answer.subarray(0, Number(cut)), () => response.destroy());
  }
}

async function readBody(request: IncomingMessage): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      chunks.push(chunk);
      size += chunk.byteLength;
      if (size > MAX_BODY_BYTES) return undefined;
    }
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks);
}
