/**
 * A replica of the configuration. Versions only grow, and each is installed
 * whole or not at all.
 */

import type {
  ConfigurationState,
  Digest,
  InventoryRecord,
  ValidationProblem,
} from '@cassiaknot/inventory';
import {
  EMPTY_STATE,
  applyChange,
  diffStates,
  newStateFromRecords,
  validateState,
} from '@cassiaknot/inventory';
import type {VersionMark, VersionedChange} from '@cassiaknot/peer-protocol';
import {MAX_KEPT_CHANGES} from './constants.js';

/** Author of a change that was derived from two snapshots. */
const SNAPSHOT_AUTHOR = 'snapshot';

/** What became of offered changes or an offered snapshot. */
export type OfferOutcome =
  /** The tip moved; `isInstalled` tells whether the tip is in force. */
  | {readonly kind: 'advanced'; readonly isInstalled: boolean}
  /** Nothing newer than the tip was offered. */
  | {readonly kind: 'stale'}
  /** The first change does not follow the tip. */
  | {readonly kind: 'gap'}
  /** The records do not have the stated digest. */
  | {readonly kind: 'digest-mismatch'; readonly version: number};

/** A version that is known but was not put in force. */
export interface SkippedVersion {
  readonly version: number;
  readonly problems: readonly ValidationProblem[];
}

/** A whole state as read from the store or a peer. */
export interface OfferedSnapshot {
  readonly version: number;
  readonly digest: Digest;
  readonly records: readonly InventoryRecord[];
}

/**
 * Holds the newest known state, which may be invalid, and the newest valid
 * one, which is in force.
 */
export class ConfigReplica {
  private tip: ConfigurationState = EMPTY_STATE;
  private installed: ConfigurationState = EMPTY_STATE;
  private changes: readonly VersionedChange[] = [];
  private skipped: SkippedVersion | undefined;

  /** The state in force. */
  getInstalled(): ConfigurationState {
    return this.installed;
  }

  /** The newest known version, in force or not. */
  getTip(): VersionMark {
    return {version: this.tip.version, digest: this.tip.digest};
  }

  /** The tip, if it is known but not in force. */
  getSkipped(): SkippedVersion | undefined {
    return this.skipped;
  }

  /** Applies consecutive changes, oldest first. */
  offerChanges(changes: readonly VersionedChange[]): OfferOutcome {
    let hasAdvanced = false;
    for (const versioned of changes) {
      if (versioned.version <= this.tip.version) continue;
      if (getPreviousVersion(versioned) !== this.tip.version) {
        return hasAdvanced ? this.getAdvanced() : {kind: 'gap'};
      }
      const {change, version} = versioned;
      const next = applyChange(this.tip, change, version);
      if (next.digest !== versioned.digest) {
        return {kind: 'digest-mismatch', version: versioned.version};
      }
      this.keepChange(versioned);
      this.advance(next);
      hasAdvanced = true;
    }
    return hasAdvanced ? this.getAdvanced() : {kind: 'stale'};
  }

  /** Replaces the tip by a newer whole state. */
  offerSnapshot(snapshot: OfferedSnapshot): OfferOutcome {
    if (snapshot.version <= this.tip.version) return {kind: 'stale'};
    const next = newStateFromRecords(snapshot.version, snapshot.records);
    if (next.digest !== snapshot.digest) {
      return {kind: 'digest-mismatch', version: snapshot.version};
    }
    if (this.tip.version === 0) this.changes = [];
    else this.keepChange(deriveChange(this.tip, next));
    this.advance(next);
    return this.getAdvanced();
  }

  /** Returns the changes after a version, or undefined if not all are kept. */
  getChangesSince(version: number): readonly VersionedChange[] | undefined {
    if (version >= this.tip.version) return [];
    const start = this.changes.findIndex(
      versioned => getPreviousVersion(versioned) === version,
    );
    return start < 0 ? undefined : this.changes.slice(start);
  }

  private advance(next: ConfigurationState): void {
    this.tip = next;
    const problems = validateState(next);
    if (problems.length > 0) {
      this.skipped = {version: next.version, problems};
      return;
    }
    this.skipped = undefined;
    this.installed = next;
  }

  private keepChange(versioned: VersionedChange): void {
    this.changes = [...this.changes, versioned].slice(-MAX_KEPT_CHANGES);
  }

  private getAdvanced(): OfferOutcome {
    return {kind: 'advanced', isInstalled: this.tip === this.installed};
  }
}

function getPreviousVersion(versioned: VersionedChange): number {
  return versioned.previousVersion ?? versioned.version - 1;
}

// Lets a peer that holds the version before take a difference, not a snapshot.
function deriveChange(
  before: ConfigurationState,
  after: ConfigurationState,
): VersionedChange {
  const {version, digest} = after;
  const change = diffStates(before, after.records, SNAPSHOT_AUTHOR);
  return {version, previousVersion: before.version, digest, change};
}
