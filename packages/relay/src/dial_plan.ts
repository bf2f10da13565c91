/**
 * Decides which gates are dialled next. Links cost most of a start when all daemons
 * start at once, so gates that callers need are linked first and the others at a pace.
 */

import type {RandomSource} from '@cassiaknot/coordination';
import type {ServiceId} from '@cassiaknot/inventory';
import {
  LINK_BURST,
  LINK_INTERVAL_MS,
  MAX_LINK_DEBT,
  START_PACE_MS,
} from './constants.js';

/** A gate that has no link and may be dialled now. */
export interface DialCandidate {
  /** Service of its target; undefined if the member does not say. */
  readonly serviceId: ServiceId | undefined;
  readonly isSameDataCentre: boolean;
}

/** Limits of one choice. */
export interface DialLimits {
  /** Links that may be opened at the same time as those being opened. */
  readonly room: number;
  /** Links of these that no caller needs at the moment. */
  readonly spareAllowance: number;
  /** Links that callers need, by service. */
  readonly shortages: ReadonlyMap<ServiceId, number>;
  /** Whether all links within the own data centre are needed, as lenders of quotas are. */
  readonly needsOwnDataCentre: boolean;
}

/**
 * Chooses the gates to dial, in order: those of services that callers need, then the
 * others; of both, those of the own data centre first.
 */
export function chooseDials<T extends DialCandidate>(
  candidates: readonly T[],
  {room, spareAllowance, shortages, needsOwnDataCentre}: DialLimits,
): T[] {
  const ordered = [
    ...candidates.filter(({isSameDataCentre}) => isSameDataCentre),
    ...candidates.filter(({isSameDataCentre}) => !isSameDataCentre),
  ];
  const missing = new Map(shortages);
  const needed = ordered.filter(candidate => takeMissing(missing, candidate));
  const others = ordered.filter(candidate => !needed.includes(candidate));
  const isNeededLink = (candidate: T) =>
    needsOwnDataCentre && candidate.isSameDataCentre;
  needed.push(...others.filter(isNeededLink));
  const spare = others.filter(candidate => !isNeededLink(candidate));
  return [...needed, ...spare.slice(0, spareAllowance)].slice(
    0,
    Math.max(0, room),
  );
}

// A gate that does not state its service may serve any.
function takeMissing(
  missing: Map<ServiceId, number>,
  {serviceId}: DialCandidate,
): boolean {
  if (serviceId === undefined) {
    return [...missing.values()].some(count => count > 0);
  }
  const count = missing.get(serviceId) ?? 0;
  if (count <= 0) return false;
  missing.set(serviceId, count - 1);
  return true;
}

/** Returns the values in random order. */
export function shuffle<T>(values: readonly T[], random: RandomSource): T[] {
  const left = [...values];
  const shuffled: T[] = [];
  while (left.length > 0) {
    const index = Math.floor(random.next() * left.length);
    shuffled.push(...left.splice(index, 1));
  }
  return shuffled;
}

/**
 * Paces the links of a daemon that has just started. Links that peers open count as
 * well, since accepting one costs about as much as dialling one.
 */
export class LinkPace {
  private tokens = LINK_BURST;
  private refilledAtMs: number;

  constructor(private readonly startedAtMs: number) {
    this.refilledAtMs = startedAtMs;
  }

  /** Whether links are still paced. */
  isActive(nowMs: number): boolean {
    return nowMs - this.startedAtMs < START_PACE_MS;
  }

  /**
   * Returns the number of links that may be dialled without a need. They are opened in
   * batches, as a handshake on its own takes more processor time than one of several.
   */
  getAllowance(nowMs: number): number {
    if (!this.isActive(nowMs)) return Infinity;
    this.refill(nowMs);
    return this.tokens >= LINK_BURST ? LINK_BURST : 0;
  }

  /** Records a link that was dialled or accepted. */
  recordLink(nowMs: number): void {
    this.refill(nowMs);
    // Bounded, so that peers that dial can't hold up the own dials for long.
    this.tokens = Math.max(-MAX_LINK_DEBT, this.tokens - 1);
  }

  private refill(nowMs: number): void {
    const refillCount = (nowMs - this.refilledAtMs) / LINK_INTERVAL_MS;
    this.tokens = Math.min(LINK_BURST, this.tokens + refillCount);
    this.refilledAtMs = nowMs;
  }
}
