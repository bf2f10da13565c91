/** Writes outcomes to a caller or to the entry that asked. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {pipeline} from 'node:stream/promises';
import {OUTCOME_HEADER, REASON_HEADER, copyAnswerHeaders} from './headers.js';
import type {Answered, NotRun, Outcome, Unknown} from './outcome.js';
import {getFailureStatus, notRun} from './outcome.js';

/** Extra header fields of an answer. */
export type ExtraHeaders = Readonly<Record<string, string>>;

/**
 * Writes an outcome. A long answer that is cut destroys the connection, so
 * that its receiver can't take it for whole.
 */
export async function writeOutcome(
  response: ServerResponse,
  outcome: Outcome,
  extraHeaders: ExtraHeaders = {},
): Promise<void> {
  if (response.destroyed) {
    discardOutcome(outcome);
    return;
  }
  if (outcome.kind === 'answered') {
    await writeAnswer(response, outcome, extraHeaders);
    return;
  }
  writeFailure(response, outcome, extraHeaders);
}

/** Answers a request that comes while the daemon stops. */
export function refuseWhileStopping(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  request.resume();
  return writeOutcome(response, notRun('draining'));
}

function writeFailure(
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

async function writeAnswer(
  response: ServerResponse,
  answered: Answered,
  extraHeaders: ExtraHeaders,
): Promise<void> {
  const {statusCode, headers, body, rest} = answered.answer;
  const passedOn = copyAnswerHeaders(headers);
  const length = getContentLength(answered);
  response.writeHead(statusCode, {
    ...passedOn,
    ...extraHeaders,
    [OUTCOME_HEADER]: 'answered',
    ...(length === undefined ? {} : {'content-length': length}),
  });
  if (!rest) {
    response.end(body);
    return;
  }
  response.write(body);
  try {
    await pipeline(rest, response);
  } catch {
    response.destroy();
  }
}

// An answer to HEAD states a length without a body, and 304 may do so.
function getContentLength(answered: Answered): string | undefined {
  const {headers, body, rest} = answered.answer;
  const stated = headers['content-length'];
  if (typeof stated === 'string') return stated;
  return rest ? undefined : String(body.byteLength);
}

function discardOutcome(outcome: Outcome): void {
  if (outcome.kind === 'answered') outcome.answer.rest?.destroy();
}
