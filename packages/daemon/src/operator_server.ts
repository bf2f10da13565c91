/**
 * HTTP face for operators and for the target: status, metrics, announcement
 * and withdrawal.
 */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Coordinator} from '@cassiaknot/coordination';
import {SERVICE_ID_SCHEMA} from '@cassiaknot/peer-protocol';
import type {RequestHandler, TargetRegistry} from '@cassiaknot/proxy';
import type {Registry} from 'prom-client';
import {z} from 'zod';
import type {StatusSources} from './status.js';
import {getDaemonStatus, getMemberStatuses} from './status.js';

/** Parts of a daemon behind the operator port. */
export interface OperatorOptions {
  readonly sources: StatusSources;
  readonly registry: Registry;
}

interface OperatorAnswer {
  readonly statusCode: number;
  readonly contentType: string;
  readonly body: string;
}

const MAX_BODY_CHARS = 10_000;
const MAX_DRAIN_MS = 60_000;

const ANNOUNCEMENT_SCHEMA = z.strictObject({
  serviceId: SERVICE_ID_SCHEMA,
  address: z.string().regex(/^[0-9a-zA-Z.[\]:-]+:\d{1,5}$/),
  slots: z.number().int().min(1).max(100_000),
  connections: z.number().int().min(1).max(100_000),
  warmUpMs: z.number().int().min(0).max(3_600_000).default(0),
});

/** Makes the handler of the operator port. */
export function newOperatorHandler(options: OperatorOptions): RequestHandler {
  return async (request, response) => {
    const answer = await answerOperator(options, request);
    writeOperatorAnswer(response, answer);
  };
}

async function answerOperator(
  options: OperatorOptions,
  request: IncomingMessage,
): Promise<OperatorAnswer> {
  const {coordinator, targets} = options.sources;
  switch (`${request.method} ${request.url}`) {
    case 'GET /v1/status':
      return toJson(200, getDaemonStatus(options.sources));
    case 'GET /v1/members':
      return toJson(200, getMemberStatuses(coordinator));
    case 'GET /v1/ready':
      return answerReady(coordinator);
    case 'GET /metrics':
      return answerMetrics(options.registry);
    case 'PUT /v1/target':
      return announceTarget(targets, await readText(request));
    case 'DELETE /v1/target':
      return drainTarget(targets);
    default:
      return toJson(404, {error: 'no such page'});
  }
}

function answerReady(coordinator: Coordinator): OperatorAnswer {
  const isReady = coordinator.isReady();
  return toJson(isReady ? 200 : 503, {isReady});
}

async function answerMetrics(registry: Registry): Promise<OperatorAnswer> {
  const body = await registry.metrics();
  return {statusCode: 200, contentType: registry.contentType, body};
}

function announceTarget(
  targets: TargetRegistry,
  text: string | undefined,
): OperatorAnswer {
  const announcement = ANNOUNCEMENT_SCHEMA.safeParse(parseJson(text));
  if (!announcement.success) {
    const error = announcement.error.issues
      .map(issue => `${issue.path.join('.')}: ${issue.message}`)
      .join('; ');
    return toJson(400, {error});
  }
  const isTaken = targets.announce(announcement.data);
  if (!isTaken) return toJson(503, {error: 'the daemon is stopping'});
  return toJson(200, {});
}

async function drainTarget(targets: TargetRegistry): Promise<OperatorAnswer> {
  const isDrained = await targets.drain(MAX_DRAIN_MS);
  return toJson(isDrained ? 200 : 504, {isDrained});
}

async function readText(request: IncomingMessage): Promise<string | undefined> {
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

function parseJson(text: string | undefined): unknown {
  if (text === undefined) return undefined;
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function toJson(statusCode: number, value: unknown): OperatorAnswer {
  const body = `${JSON.stringify(value)}\n`;
  return {statusCode, contentType: 'application/json', body};
}

function writeOperatorAnswer(
  response: ServerResponse,
  answer: OperatorAnswer,
): void {
  response.writeHead(answer.statusCode, {'content-type': answer.contentType});
  response.end(answer.body);
}
