/**
 * Rendezvous hashing: processes that know the same members rank them in the
 * same order, without an election or a lease.
 */

import MurmurHash3 from 'imurmurhash';

/** Returns the score of a candidate for a purpose. */
export function getRendezvousScore(purpose: string, candidate: string): number {
  return MurmurHash3(purpose).hash('|').hash(candidate).result();
}

/** Returns the `count` candidates with the highest scores, in that order. */
export function rankByRendezvous<T extends string>(
  purpose: string,
  candidates: Iterable<T>,
  count: number,
): T[] {
  const best: Array<Scored<T>> = [];
  for (const candidate of candidates) {
    const score = getRendezvousScore(purpose, candidate);
    insertScored(best, {candidate, score}, count);
  }
  return best.map(entry => entry.candidate);
}

interface Scored<T> {
  readonly candidate: T;
  readonly score: number;
}

function insertScored<T extends string>(
  best: Array<Scored<T>>,
  entry: Scored<T>,
  count: number,
): void {
  const last = best[best.length - 1];
  if (best.length >= count && last && !ranksBefore(entry, last)) return;
  const index = best.findIndex(other => ranksBefore(entry, other));
  if (index < 0) best.push(entry);
  else best.splice(index, 0, entry);
  if (best.length > count) best.pop();
}

function ranksBefore<T extends string>(
  left: Scored<T>,
  right: Scored<T>,
): boolean {
  if (left.score !== right.score) return left.score > right.score;
  return left.candidate < right.candidate;
}
