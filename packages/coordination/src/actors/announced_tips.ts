/** Newest versions that the peers have announced. */

import type {VersionDigest} from '@cassiaknot/peer-protocol';
import type {LinkId} from './actor_messages.js';

/** Newest version that a peer can supply. */
export interface AnnouncedTip {
  readonly linkId: LinkId;
  readonly tip: VersionDigest;
  readonly isRemote: boolean;
  /** Whether the peer has asked for the version and does not hold it yet. */
  readonly isExpected: boolean;
  /** Version whose announcement set `dueAtMs`. */
  readonly firstVersion: number;
  /** Time from which on the version may be requested from the peer. */
  readonly dueAtMs: number;
}

/** A peer to request the newest version from, or the time at which the first is due. */
export interface SupplierChoice {
  readonly supplier: AnnouncedTip | undefined;
  readonly nextDueAtMs: number;
}

/** Keeps the newest version that each peer has announced and chooses whom to ask. */
export class AnnouncedTips {
  private readonly tips = new Map<LinkId, AnnouncedTip>();

  /**
   * Records an announcement. A newer version keeps the time at which a missing older one
   * becomes due, so that a storm of changes does not postpone the request. A version that the
   * peer only expects does not replace a missing one that it holds.
   */
  record(announced: AnnouncedTip, ownVersion: number): void {
    const {linkId, tip, isExpected} = announced;
    const previous = this.tips.get(linkId);
    const isMissing = previous && previous.tip.version > ownVersion;
    if (isMissing && isExpected && !previous.isExpected) return;
    const keepsDueTime =
      isMissing &&
      previous.firstVersion > ownVersion &&
      previous.isExpected === isExpected;
    this.tips.set(linkId, keepsDueTime ? {...previous, tip} : announced);
  }

  /** Forgets what a peer has announced. */
  remove(linkId: LinkId): void {
    this.tips.delete(linkId);
  }

  /**
   * Chooses the peer with the newest version that is due. Peers that only expect their version
   * are considered if it is newer than `minExpectedVersion`.
   */
  choose(
    ownVersion: number,
    minExpectedVersion: number,
    nowMs: number,
  ): SupplierChoice {
    let supplier: AnnouncedTip | undefined;
    let nextDueAtMs = Infinity;
    for (const announced of this.tips.values()) {
      const {linkId, tip, isExpected, dueAtMs} = announced;
      if (tip.version <= ownVersion) {
        this.tips.delete(linkId);
        continue;
      }
      if (isExpected && tip.version <= minExpectedVersion) continue;
      if (dueAtMs > nowMs) {
        nextDueAtMs = Math.min(nextDueAtMs, dueAtMs);
        continue;
      }
      if (!supplier || isPreferred(announced, supplier)) supplier = announced;
    }
    return {supplier, nextDueAtMs};
  }
}

// Prefers the newest version, of equal ones a peer that holds it, and of these one in the
// same data centre.
function isPreferred(candidate: AnnouncedTip, best: AnnouncedTip): boolean {
  const {version} = candidate.tip;
  if (version !== best.tip.version) return version > best.tip.version;
  if (candidate.isExpected !== best.isExpected) return best.isExpected;
  return best.isRemote && !candidate.isRemote;
}
