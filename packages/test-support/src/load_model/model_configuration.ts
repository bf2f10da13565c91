/** Members and configuration of a scenario of the load model. */

import type {PublishedConfiguration} from '@cassiaknot/coordination';
import type {InventoryRecord} from '@cassiaknot/inventory';
import {
  RECORD_SCHEMA,
  brandId,
  compileRouteTable,
  compileWorkspaceIndex,
  digestText,
  newStateFromRecords,
} from '@cassiaknot/inventory';
import type {
  GateAddress,
  MemberRecord,
  PeerAddress,
} from '@cassiaknot/peer-protocol';
import type {
  LoadScenario,
  RequestKind,
  TargetSpec,
  WorkspaceSpec,
} from './types.js';

const MAX_ATTEMPTS = 2;

/** Returns the key that the callers of a workspace send. */
export function toKey({id}: WorkspaceSpec): string {
  return `key-of-${id}`;
}

/** Returns the member record of the instance of a target. */
export function toMember(target: TargetSpec): MemberRecord {
  const {instanceId, dataCentreId} = target;
  return {
    instanceId,
    dataCentreId,
    incarnation: 1,
    state: 'serving',
    peerAddress: brandId<PeerAddress>(instanceId),
    gateAddress: brandId<GateAddress>(instanceId),
    heldVersion: 1,
  };
}

/** Creates the configuration with the rules and workspaces of a scenario. */
export function newConfiguration(
  scenario: LoadScenario,
): PublishedConfiguration {
  const dataCentreIds = [...new Set(scenario.targets.map(t => t.dataCentreId))];
  const serviceIds = [...new Set(scenario.targets.map(t => t.serviceId))];
  const records: InventoryRecord[] = [
    {kind: 'owner', id: 'o', contact: 'c'},
    ...dataCentreIds.map(id => ({kind: 'data-centre', id, region: 'r'})),
    ...serviceIds.map(id => ({
      kind: 'service',
      id,
      ownerId: 'o',
      dataCentreIds,
    })),
    ...scenario.kinds.map(kind => toRule(kind, scenario)),
    ...(scenario.workspaces ?? []).map(workspace => ({
      kind: 'workspace',
      id: workspace.id,
      keyDigests: [digestText(toKey(workspace))],
    })),
  ].map(record => RECORD_SCHEMA.parse(record));
  const state = newStateFromRecords(1, records);
  return {
    state,
    routes: compileRouteTable(state),
    workspaces: compileWorkspaceIndex(state),
  };
}

function toRule(kind: RequestKind, {workspaces}: LoadScenario): unknown {
  return {
    ...(workspaces ? {isPublic: kind.perSecond === 0} : {}),
    kind: 'rule',
    id: kind.name,
    serviceId: kind.serviceId,
    pathPrefix: `/${kind.name}/`,
    isIdempotent: kind.isIdempotent,
    maxAttempts: MAX_ATTEMPTS,
    timeoutMs: kind.deadlineMs,
    latencyObjectiveMs: kind.objectiveMs,
    urgency: kind.urgency,
  };
}
