/**
 * Validates a state: its references resolve within it, no two of its rules are
 * ambiguous, no two of its workspaces hold the same key, and its size is within the
 * limit. Runs before a change is accepted and again on every daemon.
 */

import {MAX_RECORDS} from './constants.js';
import type {Digest, RecordKey} from './ids.js';
import type {
  InventoryRecord,
  RuleRecord,
  ServiceRecord,
  WorkspaceRecord,
} from './records.js';
import {getRecordKey, getRuleServiceIds, makeRecordKey} from './records.js';
import type {ConfigurationState} from './state.js';
import {getRecordsOfKind} from './state.js';
import {compareStates} from './state_difference.js';

/** Changed records up to which only these are validated. */
const MAX_VALIDATED_CHANGES = 32;

/** A record that refers to a record missing from its state. */
export interface DanglingReference {
  readonly kind: 'dangling-reference';
  readonly recordKey: RecordKey;
  readonly missingKey: RecordKey;
}

/** Two rules with the same host, method, path prefix and priority. */
export interface AmbiguousRule {
  readonly kind: 'ambiguous-rule';
  readonly recordKey: RecordKey;
  readonly otherKey: RecordKey;
}

/** A workspace with a key that another one holds, or that it holds twice. */
export interface SharedKey {
  readonly kind: 'shared-key';
  readonly recordKey: RecordKey;
  readonly otherKey: RecordKey;
}

/** A state with more records than a daemon is built to hold. */
export interface TooManyRecords {
  readonly kind: 'too-many-records';
  readonly recordCount: number;
}

/** A reason why a state must not take effect. */
export type ValidationProblem =
  DanglingReference | AmbiguousRule | SharedKey | TooManyRecords;

/** Returns all problems of a state; none if it is valid. */
export function validateState(state: ConfigurationState): ValidationProblem[] {
  const problems: ValidationProblem[] = [];
  if (state.records.size > MAX_RECORDS) {
    problems.push({kind: 'too-many-records', recordCount: state.records.size});
  }
  const ruleKeyByMatch = new Map<string, RecordKey>();
  for (const record of state.records.values()) {
    problems.push(...findDanglingReferences(state, record));
    if (record.kind !== 'rule') continue;
    const problem = registerRuleMatch(ruleKeyByMatch, record);
    if (problem) problems.push(problem);
  }
  problems.push(...findSharedKeys(state));
  return problems;
}

/**
 * Returns all problems of a state that follows a valid one. After a small change, only
 * the changed records are checked.
 */
export function validateNextState(
  valid: ConfigurationState,
  next: ConfigurationState,
): ValidationProblem[] {
  const {puts, removals} = compareStates(valid, next);
  const isSmall = puts.length + removals.length <= MAX_VALIDATED_CHANGES;
  if (!isSmall || next.records.size > MAX_RECORDS) return validateState(next);
  for (const removed of removals) {
    // No record refers to a rule or a workspace.
    if (removed.kind === 'rule' || removed.kind === 'workspace') continue;
    if (!next.records.has(getRecordKey(removed))) return validateState(next);
  }
  const hasNewWorkspace = puts.some(({kind}) => kind === 'workspace');
  if (hasNewWorkspace && findSharedKeys(next).length > 0) {
    return validateState(next);
  }
  for (const record of puts) {
    const isValid =
      findDanglingReferences(next, record).length === 0 &&
      !(record.kind === 'rule' && hasAmbiguousRule(next, record));
    if (!isValid) return validateState(next);
  }
  return [];
}

/** Formats a problem as one line for operators. */
export function describeProblem(problem: ValidationProblem): string {
  switch (problem.kind) {
    case 'dangling-reference':
      return `${problem.recordKey} refers to missing ${problem.missingKey}`;
    case 'ambiguous-rule':
      return `${problem.recordKey} matches the same requests as ${problem.otherKey} at the same priority`;
    case 'shared-key':
      return problem.recordKey === problem.otherKey
        ? `${problem.recordKey} holds a key twice`
        : `${problem.recordKey} holds a key of ${problem.otherKey}`;
    case 'too-many-records':
      return `the state has ${problem.recordCount} records; the limit is ${MAX_RECORDS}`;
  }
}

function findDanglingReferences(
  state: ConfigurationState,
  record: InventoryRecord,
): DanglingReference[] {
  const problems: DanglingReference[] = [];
  for (const missingKey of getReferences(record)) {
    if (state.records.has(missingKey)) continue;
    const recordKey = getRecordKey(record);
    problems.push({kind: 'dangling-reference', recordKey, missingKey});
  }
  return problems;
}

// One problem for each pair of workspaces, however many keys they share.
function findSharedKeys(state: ConfigurationState): SharedKey[] {
  const problems: SharedKey[] = [];
  const holders = new Map<Digest, WorkspaceRecord>();
  for (const workspace of getRecordsOfKind(state, 'workspace')) {
    const others = new Set<WorkspaceRecord>();
    for (const digest of workspace.keyDigests) {
      const other = holders.get(digest);
      if (other) others.add(other);
      holders.set(digest, workspace);
    }
    const recordKey = getRecordKey(workspace);
    for (const other of others) {
      const otherKey = getRecordKey(other);
      problems.push({kind: 'shared-key', recordKey, otherKey});
    }
  }
  return problems;
}

function hasAmbiguousRule(
  state: ConfigurationState,
  rule: RuleRecord,
): boolean {
  for (const other of state.records.values()) {
    if (other.kind !== 'rule' || other.id === rule.id) continue;
    const isAmbiguous =
      other.pathPrefix === rule.pathPrefix &&
      other.host === rule.host &&
      other.method === rule.method &&
      other.priority === rule.priority;
    if (isAmbiguous) return true;
  }
  return false;
}

function getReferences(record: InventoryRecord): RecordKey[] {
  switch (record.kind) {
    case 'data-centre':
    case 'owner':
    case 'caller-limits':
    case 'workspace':
      return [];
    case 'service':
      return getServiceReferences(record);
    case 'rule':
      return getRuleServiceIds(record).map(id => makeRecordKey('service', id));
  }
}

function getServiceReferences(service: ServiceRecord): RecordKey[] {
  const dataCentres = service.dataCentreIds.map(id =>
    makeRecordKey('data-centre', id),
  );
  return [makeRecordKey('owner', service.ownerId), ...dataCentres];
}

function registerRuleMatch(
  ruleKeyByMatch: Map<string, RecordKey>,
  rule: RuleRecord,
): AmbiguousRule | undefined {
  const matchKey = JSON.stringify([
    rule.priority,
    rule.host,
    rule.method,
    rule.pathPrefix,
  ]);
  const recordKey = getRecordKey(rule);
  const otherKey = ruleKeyByMatch.get(matchKey);
  if (otherKey) return {kind: 'ambiguous-rule', recordKey, otherKey};
  ruleKeyByMatch.set(matchKey, recordKey);
  return undefined;
}
