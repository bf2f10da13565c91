/** Ranks the instances that may lend permits, by what this instance reaches. */

import {getRendezvousScore} from '@cassiaknot/coordination';
import type {InstanceId, WorkspaceId} from '@cassiaknot/inventory';
import {LINK_SETTLE_MS} from '@cassiaknot/routing';
import {MEMBER_RETENTION_MS} from './constants.js';
import type {GateLink} from './gate_link.js';

/** An instance that may lend permits. */
export interface QuotaPeer {
  readonly instanceId: InstanceId;
  readonly dataCentreId: string;
  readonly link: GateLink;
  /** Undefined while the link is closed. */
  openSinceMs: number | undefined;
  /** When the link last closed, or when the instance became known. */
  closedAtMs: number;
  /** Whether the directory no longer dials the instance. */
  isForgotten: boolean;
}

/** Lenders of one workspace as this instance sees them. */
interface Ranking {
  /** First reachable instance by data centre, with its score. */
  readonly lenders: Map<string, {peer: QuotaPeer; score: number}>;
  order: readonly QuotaPeer[] | undefined;
  /** Whether this instance has the first rank in its data centre. */
  isOwnFirst: boolean | undefined;
}

/** Rankings kept; beyond, all are computed again. */
const MAX_RANKINGS = 2_000;

/** Instances of the mesh as lenders. */
export class QuotaPeers {
  private readonly peers = new Map<InstanceId, QuotaPeer>();
  private readonly localPeers = new Map<InstanceId, QuotaPeer>();
  private readonly rankings = new Map<WorkspaceId, Ranking>();
  private changedAtMs = performance.now();
  /** Result of the last count of settled links; many workspaces share it. */
  private settled = {count: 0, atMs: -Infinity};

  constructor(
    private readonly self: InstanceId,
    private readonly dataCentreId: string,
  ) {}

  add(link: GateLink, dataCentreId: string): void {
    const {instanceId} = link;
    const peer: QuotaPeer = {
      instanceId,
      dataCentreId,
      link,
      openSinceMs: undefined,
      closedAtMs: performance.now(),
      isForgotten: false,
    };
    this.peers.set(instanceId, peer);
    if (dataCentreId !== this.dataCentreId) return;
    this.localPeers.set(instanceId, peer);
    this.handleLocalChange();
    for (const ranking of this.rankings.values()) {
      ranking.isOwnFirst = undefined;
    }
  }

  // The directory may forget an instance as soon as its link closes. Its part of the
  // rate may still be lent on the other side of a cut.
  remove(instanceId: InstanceId): void {
    this.peers.delete(instanceId);
    const peer = this.localPeers.get(instanceId);
    if (peer) peer.isForgotten = true;
  }

  /** Removes instances that vanished long ago. */
  sweep(nowMs: number): void {
    for (const [instanceId, {isForgotten, closedAtMs}] of this.localPeers) {
      if (!isForgotten || nowMs - closedAtMs < MEMBER_RETENTION_MS) continue;
      this.localPeers.delete(instanceId);
      this.handleLocalChange();
      this.rankings.clear();
    }
  }

  open(instanceId: InstanceId): void {
    const peer = this.peers.get(instanceId);
    if (!peer) return;
    peer.openSinceMs = performance.now();
    if (this.localPeers.has(instanceId)) this.handleLocalChange();
    for (const [workspaceId, ranking] of this.rankings) {
      offerLender(ranking, peer, workspaceId);
    }
  }

  close(instanceId: InstanceId): void {
    const peer = this.peers.get(instanceId);
    if (!peer) return;
    peer.openSinceMs = undefined;
    peer.closedAtMs = performance.now();
    if (this.localPeers.has(instanceId)) this.handleLocalChange();
    const {dataCentreId} = peer;
    for (const [workspaceId, ranking] of this.rankings) {
      if (ranking.lenders.get(dataCentreId)?.peer === peer) {
        this.rankings.delete(workspaceId);
      }
    }
  }

  /** Returns the lender of each data centre that is reached, the own one first. */
  listLenders(workspaceId: WorkspaceId): readonly QuotaPeer[] {
    const ranking = this.getRanking(workspaceId);
    ranking.order ??= this.orderLenders(ranking, workspaceId);
    return ranking.order;
  }

  /** Whether this instance ranks first of those known in its data centre. */
  isOwnFirst(workspaceId: WorkspaceId): boolean {
    const ranking = this.getRanking(workspaceId);
    ranking.isOwnFirst ??= this.isFirst(
      workspaceId,
      this.self,
      this.localPeers.values(),
    );
    return ranking.isOwnFirst;
  }

  /** Whether a candidate ranks before all that this instance reaches. */
  isBestReached(workspaceId: WorkspaceId, candidate: InstanceId): boolean {
    return this.isFirst(workspaceId, candidate, this.listLocalOpen());
  }

  listLocalOpen(): QuotaPeer[] {
    return [...this.localPeers.values()].filter(
      ({openSinceMs}) => openSinceMs !== undefined,
    );
  }

  /** Returns the instances known in the own data centre, this one included. */
  countLocal(): number {
    return Math.max(1, this.localPeers.size);
  }

  /** Returns those of them whose links have been open for long enough. */
  countSettled(nowMs: number): number {
    if (this.settled.atMs === nowMs) return this.settled.count;
    let count = 0;
    for (const {instanceId, openSinceMs} of this.localPeers.values()) {
      if (instanceId === this.self) continue;
      const openMs = openSinceMs === undefined ? 0 : nowMs - openSinceMs;
      if (openMs >= LINK_SETTLE_MS) count += 1;
    }
    this.settled = {count, atMs: nowMs};
    return count;
  }

  /** Returns when the own data centre last changed. */
  getChangedAtMs(): number {
    return this.changedAtMs;
  }

  private handleLocalChange(): void {
    this.settled = {count: 0, atMs: -Infinity};
    this.changedAtMs = performance.now();
  }

  private isFirst(
    workspaceId: WorkspaceId,
    candidate: InstanceId,
    peers: Iterable<QuotaPeer>,
  ): boolean {
    const score = getScore(workspaceId, candidate);
    for (const {instanceId} of peers) {
      if (instanceId === candidate) continue;
      const other = {score: getScore(workspaceId, instanceId), instanceId};
      if (ranksBefore(other, {score, instanceId: candidate})) return false;
    }
    return true;
  }

  private getRanking(workspaceId: WorkspaceId): Ranking {
    let ranking = this.rankings.get(workspaceId);
    if (ranking) return ranking;
    if (this.rankings.size >= MAX_RANKINGS) this.rankings.clear();
    ranking = {lenders: new Map(), order: undefined, isOwnFirst: undefined};
    for (const peer of this.peers.values()) {
      if (peer.openSinceMs === undefined) continue;
      offerLender(ranking, peer, workspaceId);
    }
    this.rankings.set(workspaceId, ranking);
    return ranking;
  }

  // Entries spread what their own data centre can't lend over the others.
  private orderLenders(
    ranking: Ranking,
    workspaceId: WorkspaceId,
  ): readonly QuotaPeer[] {
    const purpose = `${workspaceId}|${this.self}`;
    const getOrder = ({dataCentreId}: QuotaPeer) =>
      dataCentreId === this.dataCentreId
        ? Infinity
        : getRendezvousScore(purpose, dataCentreId);
    return [...ranking.lenders.values()]
      .map(({peer}) => peer)
      .sort((left, right) => (getOrder(left) > getOrder(right) ? -1 : 1));
  }
}

interface Ranked {
  readonly score: number;
  readonly instanceId: InstanceId;
}

function getScore(workspaceId: WorkspaceId, instanceId: InstanceId): number {
  return getRendezvousScore(`quota/${workspaceId}`, instanceId);
}

function ranksBefore(left: Ranked, right: Ranked): boolean {
  if (left.score !== right.score) return left.score > right.score;
  return left.instanceId < right.instanceId;
}

function offerLender(
  ranking: Ranking,
  peer: QuotaPeer,
  workspaceId: WorkspaceId,
): void {
  const {dataCentreId, instanceId} = peer;
  const score = getScore(workspaceId, instanceId);
  const current = ranking.lenders.get(dataCentreId);
  if (
    current &&
    !ranksBefore(
      {score, instanceId},
      {score: current.score, instanceId: current.peer.instanceId},
    )
  ) {
    return;
  }
  ranking.lenders.set(dataCentreId, {peer, score});
  ranking.order = undefined;
}
