/** Writes outcomes as HTTP responses to callers and entries. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {pipeline} from 'node:stream/promises';
import {
  CALL_ID_HEADER,
  OUTCOME_HEADER,
  REASON_HEADER,
  copyResponseHeaders,
} from './headers.js';
import type {Answered, NotRun, ProxyOutcome, Unknown} from './outcome.js';
import {getFailureStatus, notRun} from './outcome.js';

/** Additional header fields of a response. */
export type ExtraHeaders = Readonly<Record<string, string>>;

/**
 * Writes an outcome, and echoes the id of the call. If the streamed part of a large
 * response fails, the connection is destroyed, so that its receiver detects the
 * truncation.
 */
export async function writeOutcome(
  response: ServerResponse,
  outcome: ProxyOutcome,
  extraHeaders: ExtraHeaders = {},
): Promise<void> {
  if (response.destroyed) {
    discardOutcome(outcome);
    return;
  }
  const callId = response.req.headers[CALL_ID_HEADER];
  if (callId !== undefined) response.setHeader(CALL_ID_HEADER, callId);
  if (outcome.kind === 'answered') {
    await writeResponse(response, outcome, extraHeaders);
    return;
  }
  writeErrorResponse(response, outcome, extraHeaders);
}

/** Refuses a request that arrives while the daemon shuts down. */
export function refuseWhileDraining(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  request.resume();
  return writeOutcome(response, notRun('draining'));
}

function writeErrorResponse(
  response: ServerResponse,
  outcome: NotRun | Unknown,
  extraHeaders: ExtraHeaders,
): void {
  const body = Buffer.from(`${outcome.kind}: ${outcome.reason}\n`);
  response.writeHead(getFailureStatus(outcome), {
    ...extraHeaders,
    [OUTCOME_HEADER]: outcome.kind,
    [REASON_HEADER]: outcome.reason,
    'content-type': 'text/plain',
    'content-length': body.byteLength,
  });
  response.end(body);
}

async function writeResponse(
  response: ServerResponse,
  answered: Answered,
  extraHeaders: ExtraHeaders,
): Promise<void> {
  const {statusCode, headers, body, remainingBody} = answered.response;
  const forwardedHeaders = copyResponseHeaders(headers);
  const contentLength = getContentLength(answered);
  response.writeHead(statusCode, {
    ...forwardedHeaders,
    ...extraHeaders,
    [OUTCOME_HEADER]: 'answered',
    ...(contentLength === undefined ? {} : {'content-length': contentLength}),
  });
  if (!remainingBody) {
    response.end(body);
    return;
  }
  response.write(body);
  try {
    await pipeline(remainingBody, response);
  } catch {
    response.destroy();
  }
}

// A response to HEAD, and some with status 304, state the content-length of a
// body that they do not carry.
function getContentLength(answered: Answered): string | undefined {
  const {headers, body, remainingBody} = answered.response;
  const contentLength = headers['content-length'];
  if (typeof contentLength === 'string') return contentLength;
  return remainingBody ? undefined : String(body.byteLength);
}

function discardOutcome(outcome: ProxyOutcome): void {
  if (outcome.kind === 'answered') outcome.response.remainingBody?.destroy();
}
