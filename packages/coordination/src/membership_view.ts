/** Immutable view of the members, read by the request path. */

import type {DataCentreId, InstanceId, ServiceId} from '@cassiaknot/inventory';
import type {MemberRecord} from '@cassiaknot/peer-protocol';
import {isLiveState} from './member_table.js';

/** Members as of one moment. */
export interface MembershipView {
  /** All records, also of members that died or left. */
  readonly records: ReadonlyMap<InstanceId, MemberRecord>;
  /** Members whose target takes requests, by service. */
  readonly targetsByService: ReadonlyMap<ServiceId, readonly MemberRecord[]>;
  /** Live members by data centre. */
  readonly liveByDataCentre: ReadonlyMap<DataCentreId, readonly MemberRecord[]>;
  /** Digest of all live records. */
  readonly digest: number;
}

/** The view before anything is known. */
export const EMPTY_MEMBERSHIP_VIEW: MembershipView = newMembershipView([], 0);

/** Builds a view and its indexes. */
export function newMembershipView(
  all: Iterable<MemberRecord>,
  digest: number,
): MembershipView {
  const records = new Map<InstanceId, MemberRecord>();
  const targetsByService = new Map<ServiceId, MemberRecord[]>();
  const liveByDataCentre = new Map<DataCentreId, MemberRecord[]>();
  for (const record of all) {
    records.set(record.instanceId, record);
    if (!isLiveState(record.state)) continue;
    pushTo(liveByDataCentre, record.dataCentreId, record);
    if (record.target && isTakingRequests(record)) {
      pushTo(targetsByService, record.target.serviceId, record);
    }
  }
  return {records, targetsByService, liveByDataCentre, digest};
}

// A suspected member may well be alive; its gate tells at once if it is not.
function isTakingRequests(record: MemberRecord): boolean {
  return record.state === 'serving' || record.state === 'suspect';
}

function pushTo<K, V>(index: Map<K, V[]>, key: K, value: V): void {
  const values = index.get(key);
  if (values) values.push(value);
  else index.set(key, [value]);
}
