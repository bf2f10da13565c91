/** Sends requests to entries as a caller does, and reads their outcomes. */

import {Agent, request} from 'undici';
import {OUTCOME_HEADER, REASON_HEADER} from '@cassiaknot/proxy';
import {REQUEST_ID_HEADER} from './targets/fake_target.js';

/** A request that a test sends. */
export interface MeshCall {
  readonly requestId: string;
  readonly method: 'GET' | 'POST';
  /** Path and query. */
  readonly path: string;
  readonly body?: string;
  readonly idempotencyKey?: string;
}

/** The result of a call, as its caller sees it. */
export interface CallResult {
  /**
   * The outcome that the entry reports; `unknown` also if it reports none. `cut`
   * if the request failed without a complete response, such as when the connection
   * could not be opened or broke.
   */
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'cut';
  /** The reason that the entry reports, or the error of a `cut`. */
  readonly reason: string;
  /** HTTP status; 0 for `cut`. */
  readonly statusCode: number;
  /** Request id in the response of the target; empty if it has none. */
  readonly requestId: string;
  readonly body: string;
}

/** Calls entries over its own connection pool. */
export class MeshCaller {
  private readonly agent = new Agent({connections: 256, pipelining: 1});

  /** Sends one request; does not reject, but reports a failure as `cut`. */
  async call(entryUrl: string, call: MeshCall): Promise<CallResult> {
    try {
      const {idempotencyKey} = call;
      const response = await request(`${entryUrl}${call.path}`, {
        method: call.method,
        dispatcher: this.agent,
        headers: {
          [REQUEST_ID_HEADER]: call.requestId,
          ...(idempotencyKey === undefined
            ? {}
            : {'idempotency-key': idempotencyKey}),
        },
        body: call.body ?? null,
      });
      const body = await response.body.text();
      return {
        outcome: parseOutcome(response.headers[OUTCOME_HEADER]),
        reason: String(response.headers[REASON_HEADER] ?? ''),
        statusCode: response.statusCode,
        requestId: String(response.headers[REQUEST_ID_HEADER] ?? ''),
        body,
      };
    } catch (error) {
      const reason = String(error);
      return {outcome: 'cut', reason, statusCode: 0, requestId: '', body: ''};
    }
  }

  /** Closes all connections. */
  close(): Promise<void> {
    return this.agent.destroy();
  }
}

function parseOutcome(value: unknown): CallResult['outcome'] {
  if (value === 'answered' || value === 'not-run') return value;
  return 'unknown';
}
