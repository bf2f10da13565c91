/**
 * Served share of each kind of job, for two guarantees: no priority of workspaces is
 * served much less than all jobs, and no kind less than a lower-ranked one of the same
 * priority. A kind is identified by its urgency.
 */

import {
  FAIR_LEVEL_TTL_MS,
  MAX_SHARE_KINDS,
  MIN_KIND_OFFERS,
  MIN_SERVED_PART,
  SHARE_HALF_LIFE_MS,
} from './constants.js';

/** The part of a job that determines its kind. */
export interface KindSubject {
  readonly urgency: number;
  readonly workspaceUrgency?: number | undefined;
}

interface Kind {
  readonly urgency: number;
  readonly workspaceUrgency: number | undefined;
  offered: number;
  started: number;
  atMs: number;
}

/** Decayed counts of a kind at one time. */
interface KindCounts {
  readonly urgency: number;
  readonly offered: number;
  readonly started: number;
}

/** Counts offers and starts by kind. */
export class KindService {
  private readonly kinds = new Map<number, Kind>();
  private starved = new Set<number>();
  private inverted = new Set<number>();
  private checkedAtMs = -Infinity;

  /** Records an offered job. */
  recordOffer(job: KindSubject, nowMs: number): void {
    this.touch(job, nowMs).offered += 1;
  }

  /** Records a started job. */
  recordStart(job: KindSubject, nowMs: number): void {
    this.touch(job, nowMs).started += 1;
  }

  /** Whether workspaces of a priority are served much less than all. */
  isStarved(workspaceUrgency: number, nowMs: number): boolean {
    this.check(nowMs);
    return this.starved.has(workspaceUrgency);
  }

  /** Whether a kind is served less than a lower-ranked one of the same priority. */
  isInverted(workspaceUrgency: number, nowMs: number): boolean {
    this.check(nowMs);
    return this.inverted.has(workspaceUrgency);
  }

  private touch(job: KindSubject, nowMs: number): Kind {
    const {urgency, workspaceUrgency} = job;
    let kind = this.kinds.get(urgency);
    if (!kind) {
      if (this.kinds.size >= MAX_SHARE_KINDS) this.kinds.clear();
      kind = {urgency, workspaceUrgency, offered: 0, started: 0, atMs: nowMs};
      this.kinds.set(urgency, kind);
    }
    const factor = getDecay(kind, nowMs);
    kind.offered *= factor;
    kind.started *= factor;
    kind.atMs = Math.max(kind.atMs, nowMs);
    return kind;
  }

  private check(nowMs: number): void {
    const ageMs = nowMs - this.checkedAtMs;
    if (ageMs >= 0 && ageMs < FAIR_LEVEL_TTL_MS) return;
    this.checkedAtMs = nowMs;
    this.starved = new Set();
    this.inverted = new Set();
    const groups = new Map<number, KindCounts[]>();
    let offered = 0;
    let started = 0;
    for (const kind of this.kinds.values()) {
      const factor = getDecay(kind, nowMs);
      const counts = {
        urgency: kind.urgency,
        offered: kind.offered * factor,
        started: kind.started * factor,
      };
      offered += counts.offered;
      started += counts.started;
      if (kind.workspaceUrgency === undefined) continue;
      const group = groups.get(kind.workspaceUrgency) ?? [];
      group.push(counts);
      groups.set(kind.workspaceUrgency, group);
    }
    const meanServed = offered > 0 ? started / offered : 0;
    for (const [workspaceUrgency, group] of groups) {
      if (isServedBelow(group, MIN_SERVED_PART * meanServed)) {
        this.starved.add(workspaceUrgency);
      }
      if (isOutOfOrder(group)) this.inverted.add(workspaceUrgency);
    }
  }
}

function isServedBelow(group: readonly KindCounts[], share: number): boolean {
  let offered = 0;
  let started = 0;
  for (const counts of group) {
    offered += counts.offered;
    started += counts.started;
  }
  return started < share * offered;
}

function isOutOfOrder(group: readonly KindCounts[]): boolean {
  const ranked = group
    .filter(({offered}) => offered >= MIN_KIND_OFFERS)
    .sort((left, right) => left.urgency - right.urgency);
  let lowestShare = Infinity;
  for (const {offered, started} of ranked) {
    const share = started / offered;
    if (lowestShare < share) return true;
    lowestShare = Math.min(lowestShare, share);
  }
  return false;
}

function getDecay(kind: Kind, nowMs: number): number {
  const ageMs = Math.max(0, nowMs - kind.atMs);
  return Math.pow(0.5, ageMs / SHARE_HALF_LIFE_MS);
}
