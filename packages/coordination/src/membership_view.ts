/** Immutable view of the members, read by the request path. */

import type {DataCentreId, InstanceId, ServiceId} from '@cassiaknot/inventory';
import type {MemberRecord} from '@cassiaknot/peer-protocol';
import {isLiveState} from './member_table.js';

/** The members at one point in time, with indexes. */
export interface MembershipView {
  /** All records, including those of members that died or left. */
  readonly records: ReadonlyMap<InstanceId, MemberRecord>;
  /** Members whose target accepts requests, by service. */
  readonly targetsByService: ReadonlyMap<ServiceId, readonly MemberRecord[]>;
  readonly liveByDataCentre: ReadonlyMap<DataCentreId, readonly MemberRecord[]>;
  /** Digest of all live records. */
  readonly digest: number;
  /** Data centres that this data centre has no link to. */
  readonly unreachable: ReadonlySet<DataCentreId>;
}

/** Number of uplinks that must report a data centre as unreachable. */
const MIN_UNREACHABLE_REPORTS = 2;

/** The view before any member is known. */
export const EMPTY_MEMBERSHIP_VIEW: MembershipView = newMembershipView(
  [],
  0,
  undefined,
);

/** Builds a view and its indexes. */
export function newMembershipView(
  all: Iterable<MemberRecord>,
  digest: number,
  ownDataCentreId: DataCentreId | undefined,
): MembershipView {
  const records = new Map<InstanceId, MemberRecord>();
  const targetsByService = new Map<ServiceId, MemberRecord[]>();
  const liveByDataCentre = new Map<DataCentreId, MemberRecord[]>();
  for (const record of all) {
    records.set(record.instanceId, record);
    if (!isLiveState(record.state)) continue;
    pushTo(liveByDataCentre, record.dataCentreId, record);
    if (record.target && acceptsRequests(record)) {
      pushTo(targetsByService, record.target.serviceId, record);
    }
  }
  const local = ownDataCentreId && liveByDataCentre.get(ownDataCentreId);
  const unreachable = findUnreachable(local ?? []);
  return {records, targetsByService, liveByDataCentre, digest, unreachable};
}

// Only uplinks have links to other data centres, so they report for all
// daemons.
function findUnreachable(
  local: readonly MemberRecord[],
): ReadonlySet<DataCentreId> {
  const reportCounts = new Map<DataCentreId, number>();
  for (const {unreachable = []} of local) {
    for (const remote of unreachable) {
      reportCounts.set(remote, (reportCounts.get(remote) ?? 0) + 1);
    }
  }
  const requiredCount = Math.min(MIN_UNREACHABLE_REPORTS, local.length);
  const found = new Set<DataCentreId>();
  for (const [remote, count] of reportCounts) {
    if (count >= requiredCount) found.add(remote);
  }
  return found;
}

// A suspected member may still be alive; if not, a call to its gate fails fast.
function acceptsRequests(record: MemberRecord): boolean {
  return record.state === 'serving' || record.state === 'suspect';
}

function pushTo<K, V>(index: Map<K, V[]>, key: K, value: V): void {
  const values = index.get(key);
  if (values) values.push(value);
  else index.set(key, [value]);
}
