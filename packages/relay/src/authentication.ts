/** Identifies the workspace of a caller by its key. Pure; never logs a key. */

import type {
  RuleRecord,
  WorkspaceIndex,
  WorkspaceRecord,
} from '@cassiaknot/inventory';
import {
  MAX_RULE_URGENCY,
  findWorkspaceByKey,
  hasWorkspaces,
} from '@cassiaknot/inventory';
import {DEFAULT_URGENCY} from './constants.js';

/** Distance of the urgencies of two workspaces with consecutive priorities. */
const WORKSPACE_URGENCY_STEP = MAX_RULE_URGENCY + 1;

/** What the key of a request says of its caller. */
export interface CallerIdentity {
  /** Whether the rule admits the caller. */
  readonly isAdmitted: boolean;
  readonly workspace: WorkspaceRecord | undefined;
  readonly keyState: 'missing' | 'unknown' | 'known';
}

/** Looks up the key of a request; a public rule admits callers without a known one. */
export function identifyCaller(
  index: WorkspaceIndex,
  rule: Pick<RuleRecord, 'isPublic'>,
  key: string | undefined,
): CallerIdentity {
  const hasKey = key !== undefined && key !== '';
  const workspace =
    hasKey && hasWorkspaces(index) ? findWorkspaceByKey(index, key) : undefined;
  const isOpen = rule.isPublic === true || !hasWorkspaces(index);
  const unknownState = hasKey ? 'unknown' : 'missing';
  return {
    isAdmitted: isOpen || workspace !== undefined,
    workspace,
    keyState: workspace ? 'known' : unknownState,
  };
}

/**
 * Orders requests by the urgency of the workspace, then of the rule. A request without
 * a workspace ranks first: it is usually a nested call, for which an admitted request
 * waits.
 */
export function combineUrgency(
  workspace: WorkspaceRecord | undefined,
  ruleUrgency: number,
): number {
  if (!workspace) return ruleUrgency;
  const workspaceUrgency = workspace.urgency ?? DEFAULT_URGENCY;
  return (workspaceUrgency + 1) * WORKSPACE_URGENCY_STEP + ruleUrgency;
}

/** Returns the urgency of the workspace in a combined one. */
export function getWorkspaceUrgency(combinedUrgency: number): number {
  return Math.floor(combinedUrgency / WORKSPACE_URGENCY_STEP) - 1;
}

/** Removes headers, given as alternating names and values, by lower-case name. */
export function dropHeaders(
  headers: readonly string[],
  dropped: ReadonlySet<string>,
): string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? '';
    if (dropped.has(name.toLowerCase())) continue;
    kept.push(name, headers[index + 1] ?? '');
  }
  return kept;
}
