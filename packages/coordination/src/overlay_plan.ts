/**
 * Computes the links and roles of a daemon from the membership alone, without
 * coordination.
 */

import type {DataCentreId, InstanceId} from '@cassiaknot/inventory';
import type {MemberRecord} from '@cassiaknot/peer-protocol';
import type {OverlayOptions} from './coordinator_options.js';
import type {MembershipView} from './membership_view.js';
import {rankByRendezvous} from './rendezvous.js';

/** Links, monitored members and roles of one daemon. */
export interface OverlayPlan {
  /** Peers in the same data centre that this daemon dials. */
  readonly neighbours: readonly InstanceId[];
  /** Members that dial this daemon and that it monitors in turn. */
  readonly monitored: readonly InstanceId[];
  /** Position among the members of the data centre that read the store. */
  readonly readerRank: number;
  /** Whether this daemon links to other data centres. */
  readonly isUplink: boolean;
  readonly isReader: boolean;
  readonly isSeed: boolean;
  /** Candidate peers in each other data centre, in the order to try them. */
  readonly remoteCandidates: ReadonlyMap<DataCentreId, readonly InstanceId[]>;
}

/** Input of {@link planOverlay}. */
export interface OverlayPlanRequest {
  readonly self: InstanceId;
  readonly dataCentreId: DataCentreId;
  readonly view: MembershipView;
  readonly overlay: OverlayOptions;
}

const MIN_REMOTE_CANDIDATES = 4;
/** Members beyond this rank are treated as equal. */
const MAX_READER_RANK = 8;
/** Share of the highest bandwidth of a data centre from which a link is fast. */
const FAST_LINK_SHARE = 0.5;

/** Computes the plan; daemons with the same view compute consistent plans. */
export function planOverlay(request: OverlayPlanRequest): OverlayPlan {
  const {self, dataCentreId, view, overlay} = request;
  const local = getLiveIds(view, dataCentreId);
  const readers = rankReaders(view, dataCentreId, MAX_READER_RANK);
  const selfIndex = readers.indexOf(self);
  const readerRank = selfIndex < 0 ? MAX_READER_RANK : selfIndex;
  const isUplink = readerRank < overlay.uplinksPerDataCentre;
  const seeds = rankByRendezvous('seed', local, overlay.seedsPerDataCentre);
  return {
    neighbours: getNeighbours(self, local, overlay.linksPerDaemon),
    monitored: findMonitored(self, local, overlay.linksPerDaemon),
    readerRank,
    isUplink,
    isReader:
      readerRank < overlay.readersPerDataCentre &&
      hasReaders(dataCentreId, view, overlay.readerDataCentres),
    isSeed: seeds.includes(self),
    remoteCandidates: isUplink
      ? findRemoteCandidates(request, readerRank)
      : new Map(),
  };
}

/**
 * Ranks the members of a data centre for the reader role and the links to other
 * data centres. Members with the fastest links come first, since they pass every
 * version on.
 */
function rankReaders(
  view: MembershipView,
  dataCentreId: DataCentreId,
  count: number,
): InstanceId[] {
  const members = view.liveByDataCentre.get(dataCentreId) ?? [];
  const maxMbps = Math.max(0, ...members.map(getLinkMbps));
  const fast: InstanceId[] = [];
  const slow: InstanceId[] = [];
  for (const member of members) {
    const isFast = getLinkMbps(member) >= maxMbps * FAST_LINK_SHARE;
    (isFast ? fast : slow).push(member.instanceId);
  }
  const ranked = rankByRendezvous('reader', fast, count);
  return [
    ...ranked,
    ...rankByRendezvous('reader', slow, count - ranked.length),
  ];
}

function getLinkMbps(member: MemberRecord): number {
  return member.linkMbps ?? 0;
}

function hasReaders(
  dataCentreId: DataCentreId,
  view: MembershipView,
  readerDataCentres: number,
): boolean {
  const dataCentres = view.liveByDataCentre.keys();
  return rankByRendezvous(
    'reader-data-centre',
    dataCentres,
    readerDataCentres,
  ).includes(dataCentreId);
}

/** Returns the peers that a member dials. */
export function getNeighbours(
  member: InstanceId,
  local: readonly InstanceId[],
  count: number,
): InstanceId[] {
  const others = local.filter(id => id !== member);
  return rankByRendezvous(`neighbour/${member}`, others, count);
}

function findMonitored(
  self: InstanceId,
  local: readonly InstanceId[],
  count: number,
): InstanceId[] {
  const monitored: InstanceId[] = [];
  for (const member of local) {
    if (member === self) continue;
    if (getNeighbours(member, local, count).includes(self)) {
      monitored.push(member);
    }
  }
  return monitored;
}

// Each uplink starts at its own rank, so that the links are spread over the
// candidates.
function findRemoteCandidates(
  request: OverlayPlanRequest,
  ownRank: number,
): Map<DataCentreId, readonly InstanceId[]> {
  const {dataCentreId, view, overlay} = request;
  const count = Math.max(overlay.uplinksPerDataCentre, MIN_REMOTE_CANDIDATES);
  const candidates = new Map<DataCentreId, readonly InstanceId[]>();
  for (const remote of view.liveByDataCentre.keys()) {
    if (remote === dataCentreId) continue;
    const ranked = rankReaders(view, remote, count);
    candidates.set(remote, rotate(ranked, ownRank));
  }
  return candidates;
}

function getLiveIds(
  view: MembershipView,
  dataCentreId: DataCentreId,
): InstanceId[] {
  const members: readonly MemberRecord[] =
    view.liveByDataCentre.get(dataCentreId) ?? [];
  return members.map(record => record.instanceId);
}

function rotate<T>(items: readonly T[], offset: number): T[] {
  if (items.length === 0) return [];
  const start = offset % items.length;
  return [...items.slice(start), ...items.slice(0, start)];
}
