/**
 * A replica of the configuration. Versions only increase, and each version is
 * installed atomically or not at all.
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
  validateNextState,
} from '@cassiaknot/inventory';
import type {VersionDigest, VersionedChange} from '@cassiaknot/peer-protocol';
import {MAX_RETAINED_CHANGES} from './constants.js';

/** Author of a change that was derived by comparing two states. */
const SNAPSHOT_AUTHOR = 'snapshot';

/** Result of applying changes or a snapshot. */
export type ApplyOutcome =
  /** The tip advanced; `isInstalled` tells whether the tip is installed. */
  | {readonly kind: 'advanced'; readonly isInstalled: boolean}
  /** Nothing was newer than the tip. */
  | {readonly kind: 'stale'}
  /** The first change newer than the tip does not follow it. */
  | {readonly kind: 'gap'}
  /** The resulting state does not have the expected digest. */
  | {readonly kind: 'digest-mismatch'; readonly version: number};

/** A version that is known but not installed, because it is invalid. */
export interface SkippedVersion {
  readonly version: number;
  readonly problems: readonly ValidationProblem[];
}

/** A complete state read from the store or received from a peer. */
export interface StateSnapshot {
  readonly version: number;
  readonly digest: Digest;
  readonly records: readonly InventoryRecord[];
}

/**
 * Holds the tip, which is the newest known state and may be invalid, and the
 * installed state, which is the newest valid one.
 */
export class ConfigReplica {
  private tip: ConfigurationState = EMPTY_STATE;
  private installed: ConfigurationState = EMPTY_STATE;
  private changes: readonly VersionedChange[] = [];
  private skipped: SkippedVersion | undefined;

  /** The newest valid state. */
  getInstalled(): ConfigurationState {
    return this.installed;
  }

  /** The newest known version, installed or not. */
  getTip(): VersionDigest {
    return {version: this.tip.version, digest: this.tip.digest};
  }

  /** The newest known state, installed or not. */
  getTipState(): ConfigurationState {
    return this.tip;
  }

  /** The tip with its problems, if it is not installed. */
  getSkipped(): SkippedVersion | undefined {
    return this.skipped;
  }

  /** Applies consecutive changes, oldest first. */
  applyChanges(changes: readonly VersionedChange[]): ApplyOutcome {
    let hasAdvanced = false;
    for (const versioned of changes) {
      if (versioned.version <= this.tip.version) continue;
      if (getPreviousVersion(versioned) !== this.tip.version) {
        return hasAdvanced ? this.newAdvancedOutcome() : {kind: 'gap'};
      }
      const {change, version} = versioned;
      const next = applyChange(this.tip, change, version);
      if (next.digest !== versioned.digest) {
        return {kind: 'digest-mismatch', version: versioned.version};
      }
      this.appendChange(versioned);
      this.advance(next);
      hasAdvanced = true;
    }
    return hasAdvanced ? this.newAdvancedOutcome() : {kind: 'stale'};
  }

  /** Replaces the tip with a newer complete state. */
  applySnapshot(snapshot: StateSnapshot): ApplyOutcome {
    if (snapshot.version <= this.tip.version) return {kind: 'stale'};
    const next = newStateFromRecords(snapshot.version, snapshot.records);
    if (next.digest !== snapshot.digest) {
      return {kind: 'digest-mismatch', version: snapshot.version};
    }
    if (this.tip.version === 0) this.changes = [];
    else this.appendChange(deriveChange(this.tip, next));
    this.advance(next);
    return this.newAdvancedOutcome();
  }

  /** Returns the changes after a version, or undefined if some were dropped. */
  getChangesSince(version: number): readonly VersionedChange[] | undefined {
    if (version >= this.tip.version) return [];
    const start = this.changes.findIndex(
      versioned => getPreviousVersion(versioned) === version,
    );
    return start < 0 ? undefined : this.changes.slice(start);
  }

  /** The change that produced the tip; undefined if the tip came as a whole. */
  getLastChange(): VersionedChange | undefined {
    const last = this.changes.at(-1);
    return last?.version === this.tip.version ? last : undefined;
  }

  private advance(next: ConfigurationState): void {
    this.tip = next;
    const problems = validateNextState(this.installed, next);
    if (problems.length > 0) {
      this.skipped = {version: next.version, problems};
      return;
    }
    this.skipped = undefined;
    this.installed = next;
  }

  private appendChange(versioned: VersionedChange): void {
    this.changes = [...this.changes, versioned].slice(-MAX_RETAINED_CHANGES);
  }

  private newAdvancedOutcome(): ApplyOutcome {
    return {kind: 'advanced', isInstalled: this.tip === this.installed};
  }
}

/** Returns the version to which a change applies. */
export function getPreviousVersion(
  versioned: Pick<VersionedChange, 'version' | 'previousVersion'>,
): number {
  return versioned.previousVersion ?? versioned.version - 1;
}

// Lets a peer at the previous version fetch a change instead of a snapshot.
function deriveChange(
  before: ConfigurationState,
  after: ConfigurationState,
): VersionedChange {
  const {version, digest} = after;
  const change = diffStates(before, after.records, SNAPSHOT_AUTHOR);
  return {version, previousVersion: before.version, digest, change};
}
