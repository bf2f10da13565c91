/** Index of the workspaces of a state, by id and by key. */

import {digestText} from './digest.js';
import type {Digest, WorkspaceId} from './ids.js';
import type {WorkspaceRecord} from './records.js';
import type {ConfigurationState} from './state.js';
import {getRecordsOfKind} from './state.js';

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
