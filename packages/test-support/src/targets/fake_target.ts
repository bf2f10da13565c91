/**
 * Fake target: responds as the query of a request asks, reports each run and
 * announces itself to its daemon.
 */

import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {CALL_ID_HEADER} from '@cassiaknot/proxy';
import {request as sendRequest} from 'undici';
import {sleep} from '../sleep.js';

/** Settings of a fake target. */
export interface FakeTargetOptions {
  readonly serviceId: string;
  readonly slots: number;
  readonly connections: number;
  readonly warmUpMs: number;
  /** Base URL of the daemon's operator port. */
  readonly operatorUrl: string;
  readonly announceIntervalMs: number;
}

/** A request that a target has started to run. */
export interface TargetRun {
  readonly requestId: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
}

/** Handlers for runs, and for the crashes that requests ask for. */
export interface TargetEvents {
  onRun(run: TargetRun): void;
  onCrash(): void;
}

/** Header with the request id that a test assigns to its call. */
export const REQUEST_ID_HEADER = 'x-request-id';

/** Requests with a larger body get no response and are not reported as runs. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;

/**
 * An HTTP server that echoes the request body. Query parameters change the
 * response: `delay` (ms before it), `size` (bytes of generated body), `status`,
 * `crash` (no response; calls `onCrash` after `onRun`), `chunked` (no
 * Content-Length) and `cut` (bytes of the body after which the connection is
 * closed).
 */
export class FakeTarget {
  private readonly server = createServer((request, response) => {
    void this.handle(request, response);
  });
  private announceTimer: NodeJS.Timeout | undefined;
  private port = 0;

  constructor(
    private readonly options: FakeTargetOptions,
    private readonly events: TargetEvents,
  ) {}

  /** Starts the server and announces it periodically. */
  async start(): Promise<void> {
    this.server.keepAliveTimeout = 60_000;
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    this.port = (this.server.address() as AddressInfo).port;
    await this.announce();
    this.announceTimer = setInterval(
      () => void this.announce(),
      this.options.announceIntervalMs,
    );
  }

  /** Deregisters from the daemon, which drains the target, then stops. */
  async drain(): Promise<void> {
    clearInterval(this.announceTimer);
    const url = `${this.options.operatorUrl}/v1/target`;
    const response = await sendRequest(url, {method: 'DELETE'});
    await response.body.dump();
    await this.stop();
  }

  /** Stops the server and closes all connections. */
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
      const response = await sendRequest(url, {
        method: 'PUT',
        body: JSON.stringify(body),
      });
      await response.body.dump();
    } catch {
      // The daemon does not respond; the next announcement is the retry.
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
    if (delayMs > 0) await sleep(delayMs);
    const callId = request.headers[CALL_ID_HEADER];
    if (callId !== undefined) response.setHeader(CALL_ID_HEADER, callId);
    this.sendResponse(response, query, requestId, body);
  }

  private sendResponse(
    response: ServerResponse,
    query: URLSearchParams,
    requestId: string,
    body: Buffer,
  ): void {
    const size = Number(query.get('size') ?? 0);
    const responseBody = size > 0 ? Buffer.alloc(size, requestId || 'x') : body;
    response.writeHead(Number(query.get('status') ?? 200), {
      [REQUEST_ID_HEADER]: requestId,
      ...(query.has('chunked')
        ? {}
        : {'content-length': responseBody.byteLength}),
    });
    const cutAfter = query.get('cut');
    if (cutAfter === null) {
      response.end(responseBody);
      return;
    }
    response.write(responseBody.subarray(0, Number(cutAfter)), () =>
      response.destroy(),
    );
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
