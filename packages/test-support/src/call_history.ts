/**
 * The test oracle of the request path: records the calls that are made through
 * it with their results and checks them against the runs that targets report.
 */

import type {CallResult, MeshCall} from './mesh_caller.js';
import type {MeshCaller} from './mesh_caller.js';
import type {TargetProcess} from './child_processes.js';

/** One call with the result that its caller received. */
export interface RecordedCall {
  readonly call: MeshCall;
  readonly result: CallResult;
}

/** A violated guarantee of the request path. */
export interface Violation {
  /**
   * - `not-run-ran`: a target ran a request whose outcome is `not-run`.
   * - `ran-twice`: a POST request ran more than once.
   * - `answered-not-run`: a request without an idempotency key has the outcome
   *   `answered`, but no target ran it.
   * - `wrong-answer`: an answered request got a response with another request id,
   *   or a body other than the one it sent. The body is compared only if one was
   *   sent. The id is not compared if the request has an idempotency key and did
   *   not run: its response is then taken to be that of an earlier request.
   * - `key-ran-twice`: requests with one idempotency key ran more than once
   *   altogether.
   */
  readonly rule:
    | 'not-run-ran'
    | 'ran-twice'
    | 'answered-not-run'
    | 'wrong-answer'
    | 'key-ran-twice';
  /** Request id, or the idempotency key for `key-ran-twice`. */
  readonly requestId: string;
}

/** Records calls and finds violated guarantees. */
export class CallHistory {
  readonly calls: RecordedCall[] = [];
  private callCount = 0;

  constructor(private readonly caller: MeshCaller) {}

  /**
   * Makes and records one call. A POST without a body sends its request id, so
   * that its response can be identified. Calls that share an idempotency key
   * must share a body, because a replayed response repeats the first one.
   */
  async call(
    entryUrl: string,
    call: Omit<MeshCall, 'requestId'>,
  ): Promise<RecordedCall> {
    this.callCount += 1;
    const requestId = `r${this.callCount}`;
    const body = call.method === 'POST' ? (call.body ?? requestId) : undefined;
    const callWithId = {
      ...call,
      requestId,
      ...(body === undefined ? {} : {body}),
    };
    const result = await this.caller.call(entryUrl, callWithId);
    const recorded = {call: callWithId, result};
    this.calls.push(recorded);
    return recorded;
  }

  /** Counts the calls with the given outcome. */
  count(outcome: CallResult['outcome']): number {
    return this.calls.filter(({result}) => result.outcome === outcome).length;
  }

  /** Counts the unanswered calls by outcome and reason, joined by a space. */
  getReasons(): Map<string, number> {
    const reasons = new Map<string, number>();
    for (const {result} of this.calls) {
      if (result.outcome === 'answered') continue;
      const reason = `${result.outcome} ${result.reason}`;
      reasons.set(reason, (reasons.get(reason) ?? 0) + 1);
    }
    return reasons;
  }

  /**
   * Checks all recorded calls against the runs of the given targets, which must
   * be all that may have run them.
   */
  findViolations(targets: readonly TargetProcess[]): Violation[] {
    const runCounts = new Map<string, number>();
    for (const target of targets) {
      for (const {requestId} of target.runs) {
        runCounts.set(requestId, (runCounts.get(requestId) ?? 0) + 1);
      }
    }
    const violations: Violation[] = [];
    for (const recorded of this.calls) {
      violations.push(...checkCall(recorded, runCounts));
    }
    return [...violations, ...this.checkKeys(runCounts)];
  }

  private checkKeys(runCounts: ReadonlyMap<string, number>): Violation[] {
    const runsByKey = new Map<string, number>();
    for (const {call} of this.calls) {
      const key = call.idempotencyKey;
      if (key === undefined) continue;
      const runs = runCounts.get(call.requestId) ?? 0;
      runsByKey.set(key, (runsByKey.get(key) ?? 0) + runs);
    }
    return [...runsByKey]
      .filter(([, runs]) => runs > 1)
      .map(([key]) => ({rule: 'key-ran-twice', requestId: key}));
  }
}

function checkCall(
  recorded: RecordedCall,
  runCounts: ReadonlyMap<string, number>,
): Violation[] {
  const {call, result} = recorded;
  const {requestId} = call;
  const runs = runCounts.get(requestId) ?? 0;
  const violations: Violation[] = [];
  if (result.outcome === 'not-run' && runs > 0) {
    violations.push({rule: 'not-run-ran', requestId});
  }
  if (call.method === 'POST' && runs > 1) {
    violations.push({rule: 'ran-twice', requestId});
  }
  if (result.outcome !== 'answered') return violations;
  const isReplayed = call.idempotencyKey !== undefined && runs === 0;
  if (runs === 0 && !isReplayed) {
    violations.push({rule: 'answered-not-run', requestId});
  }
  if (!isOwnResponse(recorded, isReplayed)) {
    violations.push({rule: 'wrong-answer', requestId});
  }
  return violations;
}

function isOwnResponse(
  {call, result}: RecordedCall,
  isReplayed: boolean,
): boolean {
  if (!isReplayed && result.requestId !== call.requestId) return false;
  return call.body === undefined || result.body === call.body;
}
