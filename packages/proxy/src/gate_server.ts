/** HTTP interface of the gate. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {InstanceId, ServiceId} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import {readRequestBody} from './bodies.js';
import {MAX_REQUEST_BYTES, MAX_TIMEOUT_MS} from './constants.js';
import {Deadline} from './deadline.js';
import type {ProxyGate} from './gate.js';
import {
  DEPTH_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  INSTANCE_HEADER,
  LOAD_HEADER,
  RETRY_HEADER,
  SERVICE_HEADER,
  SUSPECT_HEADER,
  TARGET_TIME_HEADER,
  TIMEOUT_HEADER,
  copyRequestHeaders,
  readNumberHeader,
} from './headers.js';
import type {RequestHandler} from './http_server.js';
import type {ProxyMeter} from './meter.js';
import type {ProxyOutcome} from './outcome.js';
import {notRun} from './outcome.js';
import {writeOutcome} from './write_outcome.js';

/** Creates the request handler of the gate's port. */
export function newGateHandler(
  gate: ProxyGate,
  meter: ProxyMeter,
): RequestHandler {
  return async (request, response) => {
    const outcome = await handleGateRequest(gate, request, response);
    meter.countOutcome('gate', outcome);
    await writeOutcome(response, outcome, {
      [LOAD_HEADER]: String(gate.getLoad()),
      ...getTargetTimeHeader(outcome),
    });
  };
}

async function handleGateRequest(
  gate: ProxyGate,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<ProxyOutcome> {
  const timeoutText = request.headers[TIMEOUT_HEADER];
  const timeoutMs = readNumberHeader(timeoutText, 0, MAX_TIMEOUT_MS) ?? 0;
  const deadline = new Deadline(timeoutMs);
  response.once('close', () => {
    if (!response.writableFinished) deadline.cancel();
    deadline.dispose();
  });
  // A request whose body was not received completely is never forwarded.
  const body = await readRequestBody(request, MAX_REQUEST_BYTES);
  if (body.isErr()) return notRun(body.error);
  const {headers, method = 'GET', url = '/'} = request;
  return gate.handle({
    instanceId: brandId<InstanceId>(readTextHeader(headers[INSTANCE_HEADER])),
    serviceId: brandId<ServiceId>(readTextHeader(headers[SERVICE_HEADER])),
    method,
    path: url,
    headers: newTargetHeaders(request, deadline),
    body: body.value,
    idempotencyKey:
      readTextHeader(headers[IDEMPOTENCY_KEY_HEADER]) || undefined,
    isSuspect: headers[SUSPECT_HEADER] !== undefined,
    deadline,
  });
}

function newTargetHeaders(
  request: IncomingMessage,
  deadline: Deadline,
): string[] {
  const headers = copyRequestHeaders(request.rawHeaders);
  const remainingMs = Math.ceil(deadline.getRemainingMs());
  headers.push(TIMEOUT_HEADER, String(remainingMs));
  for (const name of [DEPTH_HEADER, RETRY_HEADER]) {
    const value = readTextHeader(request.headers[name]);
    if (value !== '') headers.push(name, value);
  }
  return headers;
}

function getTargetTimeHeader(outcome: ProxyOutcome): Record<string, string> {
  if (outcome.kind !== 'answered') return {};
  return {[TARGET_TIME_HEADER]: String(Math.round(outcome.targetTimeUs))};
}

function readTextHeader(value: string | string[] | undefined): string {
  return typeof value === 'string' ? value : '';
}
