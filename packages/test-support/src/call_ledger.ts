/**
 * The oracle of the request path: keeps every call with its outcome and
 * compares them with the runs that the targets report.
 */

import type {MeshAnswer, MeshCall} from './call_mesh.js';
import type {MeshCaller} from './call_mesh.js';
import type {TargetProcess} from './child_processes.js';

/** One call with what its caller received. */
export interface LedgerEntry {
  readonly call: MeshCall;
  readonly answer: MeshAnswer;
}

/** A promise that was broken. */
export interface Violation {
  readonly rule:
    | 'not-run-ran'
    | 'ran-twice'
    | 'answered-not-run'
    | 'wrong-answer'
    | 'key-ran-twice';
  readonly requestId: string;
}

/** Records calls and finds broken promises. */
export class CallLedger {
  readonly entries: LedgerEntry[] = [];
  private callCount = 0;

  constructor(private readonly caller: MeshCaller) {}

  /** Makes one call, with a body by which its answer can be told apart. */
  async call(
    entryUrl: string,
    call: Omit<MeshCall, 'requestId'>,
  ): Promise<LedgerEntry> {
    this.callCount += 1;
    const requestId = `r${this.callCount}`;
    const body = call.method === 'POST' ? (call.body ?? requestId) : undefined;
    const whole = {...call, requestId, ...(body === undefined ? {} : {body})};
    const answer = await this.caller.call(entryUrl, whole);
    const entry = {call: whole, answer};
    this.entries.push(entry);
    return entry;
  }

  /** Counts entries with an outcome. */
  count(outcome: MeshAnswer['outcome']): number {
    return this.entries.filter(({answer}) => answer.outcome === outcome).length;
  }

  /** Lists the reasons of entries that were not answered. */
  getReasons(): Map<string, number> {
    const reasons = new Map<string, number>();
    for (const {answer} of this.entries) {
      if (answer.outcome === 'answered') continue;
      const reason = `${answer.outcome} ${answer.reason}`;
      reasons.set(reason, (reasons.get(reason) ?? 0) + 1);
    }
    return reasons;
  }

  /** Compares all entries with the runs of all targets. */
  findViolations(targets: readonly TargetProcess[]): Violation[] {
    const runCounts = new Map<string, number>();
    for (const target of targets) {
      for (const {requestId} of target.runs) {
        runCounts.set(requestId, (runCounts.get(requestId) ?? 0) + 1);
      }
    }
    const violations: Violation[] = [];
    for (const entry of this.entries) {
      violations.push(...checkEntry(entry, runCounts));
    }
    return [...violations, ...this.checkKeys(runCounts)];
  }

  private checkKeys(runCounts: ReadonlyMap<string, number>): Violation[] {
    const runsByKey = new Map<string, number>();
    for (const {call} of this.entries) {
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

function checkEntry(
  entry: LedgerEntry,
  runCounts: ReadonlyMap<string, number>,
): Violation[] {
  const {call, answer} = entry;
  const {requestId} = call;
  const runs = runCounts.get(requestId) ?? 0;
  const violations: Violation[] = [];
  if (answer.outcome === 'not-run' && runs > 0) {
    violations.push({rule: 'not-run-ran', requestId});
  }
  if (call.method === 'POST' && runs > 1) {
    violations.push({rule: 'ran-twice', requestId});
  }
  if (answer.outcome !== 'answered') return violations;
  const isReplay = call.idempotencyKey !== undefined && runs === 0;
  if (runs === 0 && !isReplay) {
    violations.push({rule: 'answered-not-run', requestId});
  }
  if (!isOwnAnswer(entry, isReplay)) {
    violations.push({rule: 'wrong-answer', requestId});
  }
  return violations;
}

function isOwnAnswer({call, answer}: LedgerEntry, isReplay: boolean): boolean {
  if (!isReplay && answer.requestId !== call.requestId) return false;
  return call.body === undefined || answer.body === call.body;
}
