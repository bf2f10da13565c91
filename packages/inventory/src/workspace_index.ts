/** Index of the workspaces of a state, by id and by key. */

import {digestRecord, digestText} from './digest.js';
import type {Digest, WorkspaceId} from './ids.js';
import type {WorkspaceRecord} from './records.js';
import type {ConfigurationState} from './state.js';
import {getRecordsOfKind} from './state.js';
import {compareStates} from './state_difference.js';

/** Workspaces of one configuration version. */
export interface WorkspaceIndex {
  readonly workspaces: ReadonlyMap<WorkspaceId, WorkspaceRecord>;
  readonly workspacesByKeyDigest: ReadonlyMap<Digest, WorkspaceRecord>;
}

/** Compiles the index of a state. */
export function compileWorkspaceIndex(
  state: ConfigurationState,
): WorkspaceIndex {
  const workspaces = new Map<WorkspaceId, WorkspaceRecord>();
  const workspacesByKeyDigest = new Map<Digest, WorkspaceRecord>();
  for (const workspace of getRecordsOfKind(state, 'workspace')) {
    workspaces.set(workspace.id, workspace);
    for (const digest of workspace.keyDigests) {
      workspacesByKeyDigest.set(digest, workspace);
    }
  }
  return {workspaces, workspacesByKeyDigest};
}

/**
 * Compiles the index of a state that follows another. The index is kept if no workspace
 * has changed.
 */
export function compileNextWorkspaceIndex(
  before: ConfigurationState,
  index: WorkspaceIndex,
  after: ConfigurationState,
): WorkspaceIndex {
  const {puts, removals} = compareStates(before, after);
  const digestsById = new Map<WorkspaceId, Digest>();
  for (const record of removals) {
    if (record.kind !== 'workspace') continue;
    digestsById.set(record.id, digestRecord(record));
  }
  for (const record of puts) {
    if (record.kind !== 'workspace') continue;
    // A snapshot replaces all records, most of them by equal ones.
    if (digestsById.get(record.id) !== digestRecord(record)) {
      return compileWorkspaceIndex(after);
    }
    digestsById.delete(record.id);
  }
  return digestsById.size > 0 ? compileWorkspaceIndex(after) : index;
}

/** Whether requests need a key, unless their rule is public. */
export function hasWorkspaces(index: WorkspaceIndex): boolean {
  return index.workspaces.size > 0;
}

/** Returns the workspace that holds a key. */
export function findWorkspaceByKey(
  index: WorkspaceIndex,
  key: string,
): WorkspaceRecord | undefined {
  return index.workspacesByKeyDigest.get(digestText(key));
}
