/**
 * HTTP API for operators and the local target: status, metrics, announcement
 * and drain of the target.
 */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Coordinator} from '@cassiaknot/coordination';
import {SERVICE_ID_SCHEMA} from '@cassiaknot/peer-protocol';
import type {RequestHandler, TargetRegistry} from '@cassiaknot/proxy';
import type {Registry} from 'prom-client';
import {z} from 'zod';
import type {StatusSources} from './status.js';
import {getDaemonStatus, getMemberStatuses} from './status.js';

/** Dependencies of the operator API. */
export interface OperatorHandlerOptions {
  readonly sources: StatusSources;
  readonly registry: Registry;
}

interface OperatorResponse {
  readonly statusCode: number;
  readonly contentType: string;
  readonly body: string;
}

const MAX_BODY_CHARS = 10_000;
const TARGET_DRAIN_TIMEOUT_MS = 60_000;

const ANNOUNCEMENT_SCHEMA = z.strictObject({
  serviceId: SERVICE_ID_SCHEMA,
  address: z.string().regex(/^[0-9a-zA-Z.[\]:-]+:\d{1,5}$/),
  slots: z.number().int().min(1).max(100_000),
  connections: z.number().int().min(1).max(100_000),
  warmUpMs: z.number().int().min(0).max(3_600_000).default(0),
});

/** Creates the request handler of the operator port. */
export function newOperatorHandler(
  options: OperatorHandlerOptions,
): RequestHandler {
  return async (request, response) => {
    const operatorResponse = await handleOperatorRequest(options, request);
    writeOperatorResponse(response, operatorResponse);
  };
}

async function handleOperatorRequest(
  options: OperatorHandlerOptions,
  request: IncomingMessage,
): Promise<OperatorResponse> {
  const {coordinator, targets} = options.sources;
  switch (`${request.method} ${request.url}`) {
    case 'GET /v1/status':
      return toResponse(200, getDaemonStatus(options.sources));
    case 'GET /v1/members':
      return toResponse(200, getMemberStatuses(coordinator));
    case 'GET /v1/ready':
      return describeReadiness(coordinator);
    case 'GET /metrics':
      return collectMetrics(options.registry);
    case 'PUT /v1/target':
      return announceTarget(targets, await readBody(request));
    case 'DELETE /v1/target':
      return drainTarget(targets);
    default:
      return toResponse(404, {error: 'no such page'});
  }
}

function describeReadiness(coordinator: Coordinator): OperatorResponse {
  const isReady = coordinator.isReady();
  return toResponse(isReady ? 200 : 503, {isReady});
}

async function collectMetrics(registry: Registry): Promise<OperatorResponse> {
  const body = await registry.metrics();
  return {statusCode: 200, contentType: registry.contentType, body};
}

function announceTarget(
  targets: TargetRegistry,
  text: string | undefined,
): OperatorResponse {
  const announcement = ANNOUNCEMENT_SCHEMA.safeParse(parseJson(text));
  if (!announcement.success) {
    const error = announcement.error.issues
      .map(issue => `${issue.path.join('.')}: ${issue.message}`)
      .join('; ');
    return toResponse(400, {error});
  }
  const isAccepted = targets.announce(announcement.data);
  if (!isAccepted) return toResponse(503, {error: 'the daemon is stopping'});
  return toResponse(200, {});
}

async function drainTarget(targets: TargetRegistry): Promise<OperatorResponse> {
  const isDrained = await targets.drain(TARGET_DRAIN_TIMEOUT_MS);
  return toResponse(isDrained ? 200 : 504, {isDrained});
}

// Returns undefined if the body is too long or was cut off.
async function readBody(request: IncomingMessage): Promise<string | undefined> {
  let text = '';
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      text += chunk.toString('utf8');
      if (text.length > MAX_BODY_CHARS) return undefined;
    }
  } catch {
    return undefined;
  }
  return text;
}

// Returns undefined if there is no text or it is not valid JSON.
function parseJson(text: string | undefined): unknown {
  if (text === undefined) return undefined;
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function toResponse(statusCode: number, value: unknown): OperatorResponse {
  const body = `${JSON.stringify(value)}\n`;
  return {statusCode, contentType: 'application/json', body};
}

function writeOperatorResponse(
  response: ServerResponse,
  operatorResponse: OperatorResponse,
): void {
  response.writeHead(operatorResponse.statusCode, {
    'content-type': operatorResponse.contentType,
  });
  response.end(operatorResponse.body);
}
