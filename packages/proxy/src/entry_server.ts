/** HTTP interface of the entry. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ServiceRecord} from '@cassiaknot/inventory';
import {readRequestBody} from './bodies.js';
import {
  MAX_CALL_DEPTH,
  MAX_REQUEST_BYTES,
  MAX_TIMEOUT_MS,
} from './constants.js';
import {Deadline} from './deadline.js';
import type {ProxyEntry} from './entry.js';
import {
  DEPTH_HEADER,
  RETRY_HEADER,
  TIMEOUT_HEADER,
  copyRequestHeaders,
  readNumberHeader,
} from './headers.js';
import type {RequestHandler} from './http_server.js';
import type {ProxyMeter} from './meter.js';
import type {ProxyOutcome} from './outcome.js';
import {notRun} from './outcome.js';
import {writeOutcome} from './write_outcome.js';

const US_PER_MS = 1_000;

/** Creates the request handler of the entry's port. */
export function newEntryHandler(
  entry: ProxyEntry,
  meter: ProxyMeter,
): RequestHandler {
  return async (request, response, receivedAtMs) => {
    const call = new EntryCall(request, response, receivedAtMs);
    const outcome = await call.route(entry);
    meter.countOutcome('entry', outcome);
    if (outcome.kind === 'answered') {
      const totalUs = (performance.now() - receivedAtMs) * US_PER_MS;
      meter.recordLatency(totalUs, outcome.targetTimeUs);
    }
    await writeOutcome(response, outcome);
    call.finish();
  };
}

/** One request received on the entry's port. */
class EntryCall {
  private deadline: Deadline | undefined;
  private isCallerDisconnected = false;

  constructor(
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly receivedAtMs: number,
  ) {
    response.once('close', () => {
      if (response.writableFinished) return;
      this.isCallerDisconnected = true;
      this.deadline?.cancel();
    });
  }

  async route(entry: ProxyEntry): Promise<ProxyOutcome> {
    const body = await readRequestBody(this.request, MAX_REQUEST_BYTES);
    if (body.isErr()) return notRun(body.error);
    const {headers, method = 'GET', rawHeaders, url = '/'} = this.request;
    const [path = '/'] = url.split('?');
    const [host = ''] = (headers.host ?? '').split(':');
    return entry.handle({
      route: {method, path, host},
      path: url,
      headers: copyRequestHeaders(rawHeaders),
      body: body.value,
      depth: readNumberHeader(headers[DEPTH_HEADER], 0, MAX_CALL_DEPTH) ?? 0,
      isRetry: headers[RETRY_HEADER] !== undefined,
      startDeadline: service => this.startDeadline(service),
    });
  }

  finish(): void {
    this.deadline?.dispose();
  }

  private startDeadline(service: ServiceRecord): Deadline {
    const requestedTimeout = this.request.headers[TIMEOUT_HEADER];
    const requestedTimeoutMs = readNumberHeader(
      requestedTimeout,
      1,
      MAX_TIMEOUT_MS,
    );
    const timeoutMs = Math.min(
      requestedTimeoutMs ?? service.timeoutMs,
      service.timeoutMs,
    );
    const waitedMs = performance.now() - this.receivedAtMs;
    const deadline = new Deadline(Math.max(0, timeoutMs - waitedMs));
    this.deadline = deadline;
    if (this.isCallerDisconnected) deadline.cancel();
    return deadline;
  }
}
