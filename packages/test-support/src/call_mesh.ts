/** Sends a caller's request to an entry and reads the whole outcome. */

import {Agent, request} from 'undici';
import {OUTCOME_HEADER, REASON_HEADER} from '@cassiaknot/proxy';
import {REQUEST_ID_HEADER} from './targets/target_stand_in.js';

/** A request of a test. */
export interface MeshCall {
  readonly requestId: string;
  readonly method: 'GET' | 'POST';
  /** Path and query. */
  readonly path: string;
  readonly body?: string;
  readonly idempotencyKey?: string;
}

/** What a caller received. */
export interface MeshAnswer {
  /** `cut` if the connection broke before the answer was whole. */
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'cut';
  readonly reason: string;
  readonly statusCode: number;
  /** Id that the target put on its answer. */
  readonly requestId: string;
  readonly body: string;
}

/** Calls entries over connections of its own. */
export class MeshCaller {
  private readonly agent = new Agent({connections: 256, pipelining: 1});

  /** Sends one request; a broken connection is an outcome, too. */
  async call(entryUrl: string, call: MeshCall): Promise<MeshAnswer> {
    try {
      const {idempotencyKey} = call;
      const answer = await request(`${entryUrl}${call.path}`, {
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
      const body = await answer.body.text();
      return {
        outcome: readOutcome(answer.headers[OUTCOME_HEADER]),
        reason: String(answer.headers[REASON_HEADER] ?? ''),
        statusCode: answer.statusCode,
        requestId: String(answer.headers[REQUEST_ID_HEADER] ?? ''),
        body,
      };
    } catch (error) {
      const reason = String(error);
      return {outcome: 'cut', reason, statusCode: 0, requestId: '', body: ''};
    }
  }

  /** Ends all connections. */
  close(): Promise<void> {
    return this.agent.destroy();
  }
}

function readOutcome(value: unknown): MeshAnswer['outcome'] {
  if (value === 'answered' || value === 'not-run') return value;
  return 'unknown';
}
