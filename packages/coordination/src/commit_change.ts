/**
 * Commits a change to the configuration. The compare-and-swap of the head is
 * the only commit point. If its response is lost, the outcome is determined by
 * reading the head and looking for the id of the change.
 */

import type {
  Change,
  ConfigurationState,
  RecordKey,
  ValidationProblem,
} from '@cassiaknot/inventory';
import {
  applyChange,
  getTouchedKeys,
  validateState,
} from '@cassiaknot/inventory';
import type {KeyValueStore} from '@cassiaknot/store';
import {getRevisionGeneration, isRevisionVoid} from '@cassiaknot/store';
import type {Result} from 'ts-results-es';
import {Err, Ok} from 'ts-results-es';
import type {Backoff} from './backoff.js';
import type {ConfigurationHead} from './configuration_head.js';
import {HEAD_KEY, getChangeKey} from './configuration_head.js';
import type {HeadReading, LogError} from './configuration_log.js';
import {ConfigurationLog, newStoreError} from './configuration_log.js';
import {ORPHAN_AGE_MS} from './collect_orphans.js';
import {MAX_RETAINED_CHANGES, SNAPSHOT_INTERVAL_VERSIONS} from './constants.js';
import {deleteSuperseded, writeSnapshot} from './snapshot_writer.js';

/** The version that a committed change created. */
export interface CommitReceipt {
  readonly version: number;
}

/** A concurrent change has modified a record that this change also touches. */
export interface ConflictError {
  readonly kind: 'conflict';
  readonly recordKey: RecordKey;
  readonly version: number;
  readonly author: string;
}

/** Why a change was not committed, or that its outcome is unknown. */
export type CommitError =
  | ConflictError
  | {
      readonly kind: 'invalid';
      readonly problems: readonly ValidationProblem[];
    }
  /** The base version is older than the history that the head lists. */
  | {readonly kind: 'base-too-old'; readonly baseVersion: number}
  /** The change has definitely not taken effect. */
  | {readonly kind: 'not-committed'; readonly error: LogError}
  /** The change may have taken effect; the head must be read again later. */
  | {readonly kind: 'unknown'; readonly error: LogError};

/** Dependencies and limits of a commit. */
export interface CommitOptions {
  readonly store: KeyValueStore;
  readonly backoff: Backoff;
  readonly maxAttempts: number;
}

/** Maximum size of a change that the head contains. */
const MAX_INLINE_CHANGE_CHARS = 8_000;
/**
 * Age from which a stored change is written again, because it may be collected
 * as an orphan.
 */
const MAX_STORED_AGE_MS = ORPHAN_AGE_MS / 2;

/** Commits a change, rebasing it onto concurrent changes of other records. */
export function commitChange(
  change: Change,
  options: CommitOptions,
): Promise<Result<CommitReceipt, CommitError>> {
  return new CommitOperation(change, options).run();
}

type AttemptOutcome =
  | {readonly kind: 'done'; readonly result: Result<CommitReceipt, CommitError>}
  | {readonly kind: 'retry'; readonly error: LogError};

/** Commits one change with retries. */
class CommitOperation {
  private readonly log: ConfigurationLog;
  private storedAtMs: number | undefined;
  /**
   * Revision expected by a compare-and-swap of unknown outcome. The write can
   * still take effect while the head is at this revision, but not afterwards.
   */
  private pendingRevision: number | undefined;

  constructor(
    private readonly change: Change,
    private readonly options: CommitOptions,
  ) {
    this.log = new ConfigurationLog(options.store);
  }

  async run(): Promise<Result<CommitReceipt, CommitError>> {
    let error: LogError | undefined;
    for (let count = 0; count < this.options.maxAttempts; count += 1) {
      if (error) await sleep(this.options.backoff.next());
      const outcome = await this.attempt();
      if (outcome.kind === 'done') return outcome.result;
      error = outcome.error;
    }
    if (!error) throw new Error('maxAttempts must be at least 1');
    const kind =
      this.pendingRevision === undefined ? 'not-committed' : 'unknown';
    return Err({kind, error});
  }

  private async attempt(): Promise<AttemptOutcome> {
    const reading = await this.log.readHead();
    if (reading.isErr()) return retry(reading.error);
    const {head, revision} = reading.value;
    const committed = head.history.find(
      entry => entry.changeId === this.change.changeId,
    );
    if (committed) return done(Ok({version: committed.version}));
    if (this.isPendingWriteVoid(revision)) this.pendingRevision = undefined;
    const conflict = await this.findConflict(head);
    if (conflict) return conflict;
    const state = await this.log.readState(head);
    if (state.isErr()) return retry(state.error);
    return this.write(reading.value, state.value);
  }

  // After the store came back from an older copy, the revision can be issued again,
  // so that a write under way can still take effect.
  private isPendingWriteVoid(revision: number): boolean {
    const {pendingRevision} = this;
    if (pendingRevision === undefined || revision === pendingRevision) {
      return false;
    }
    const generation = getRevisionGeneration(pendingRevision);
    return !isRevisionVoid(revision, generation) && revision > pendingRevision;
  }

  private async findConflict(
    head: ConfigurationHead,
  ): Promise<AttemptOutcome | undefined> {
    const {baseVersion} = this.change;
    if (baseVersion === head.version) return undefined;
    const since = await this.log.readChangesAfter(head, baseVersion);
    if (since.isErr()) return retry(since.error);
    if (!since.value || baseVersion > head.version) {
      return done(Err({kind: 'base-too-old', baseVersion}));
    }
    const touched = getTouchedKeys(this.change);
    for (const {version, change} of since.value) {
      for (const recordKey of getTouchedKeys(change)) {
        if (!touched.has(recordKey)) continue;
        const {author} = change;
        return done(Err({kind: 'conflict', recordKey, version, author}));
      }
    }
    return undefined;
  }

  private async write(
    reading: HeadReading,
    state: ConfigurationState,
  ): Promise<AttemptOutcome> {
    const next = applyChange(state, this.change);
    const problems = validateState(next);
    if (problems.length > 0) return done(Err({kind: 'invalid', problems}));
    const stored = await this.storeChange();
    if (stored.isErr()) return retry(stored.error);
    const head = await this.prepareHead(reading.head, next);
    if (head.isErr()) return retry(head.error);
    return this.swapHead(reading, head.value, next);
  }

  private async storeChange(): Promise<Result<void, LogError>> {
    if (this.isRecentlyStored()) return Ok(undefined);
    const key = getChangeKey(this.change.changeId);
    const value = JSON.stringify(this.change);
    const result = await this.options.store.put(key, value);
    if (result.isErr()) return newStoreError(result.error);
    this.storedAtMs = performance.now();
    return Ok(undefined);
  }

  private isRecentlyStored(): boolean {
    if (this.storedAtMs === undefined) return false;
    return performance.now() - this.storedAtMs < MAX_STORED_AGE_MS;
  }

  private async prepareHead(
    head: ConfigurationHead,
    next: ConfigurationState,
  ): Promise<Result<ConfigurationHead, LogError>> {
    const {version, digest} = next;
    const {changeId} = this.change;
    const entry = {version, digest, changeId};
    const history = [...head.history, entry].slice(-MAX_RETAINED_CHANGES);
    const inlineChange = fitsInline(this.change) ? this.change : undefined;
    const nextHead = {...head, version, digest, history, inlineChange};
    const snapshotVersion = head.snapshot?.version ?? 0;
    if (version - snapshotVersion < SNAPSHOT_INTERVAL_VERSIONS) {
      return Ok(nextHead);
    }
    const {store} = this.options;
    const snapshot = await writeSnapshot(store, next, changeId);
    return snapshot.map(reference => ({...nextHead, snapshot: reference}));
  }

  private async swapHead(
    reading: HeadReading,
    next: ConfigurationHead,
    state: ConfigurationState,
  ): Promise<AttemptOutcome> {
    const result = await this.options.store.compareAndSwap({
      key: HEAD_KEY,
      value: JSON.stringify(next),
      expectedRevision: reading.revision,
    });
    if (result.isErr()) {
      // An earlier ambiguous write may still be pending at the same revision,
      // so a definite failure does not clear `pendingRevision`.
      if (result.error.kind === 'ambiguous') {
        this.pendingRevision = reading.revision;
      }
      return retry({kind: 'store', error: result.error});
    }
    if (result.value.kind === 'conflict') {
      const message = 'the head was changed by another writer';
      return retry({kind: 'store', error: {kind: 'rejected', message}});
    }
    await this.restoreIfExpired(state, next);
    await deleteSuperseded(this.options.store, reading.head, next);
    return done(Ok({version: next.version}));
  }

  // If this writer was paused before the swap, its change and snapshot may have
  // been collected as orphans, so they are written again.
  private async restoreIfExpired(
    state: ConfigurationState,
    head: ConfigurationHead,
  ): Promise<void> {
    if (this.isRecentlyStored()) return;
    const {store} = this.options;
    const key = getChangeKey(this.change.changeId);
    await store.put(key, JSON.stringify(this.change));
    if (head.snapshot?.version !== state.version) return;
    await writeSnapshot(store, state, this.change.changeId);
  }
}

function fitsInline(change: Change): boolean {
  return JSON.stringify(change).length <= MAX_INLINE_CHANGE_CHARS;
}

function done(result: Result<CommitReceipt, CommitError>): AttemptOutcome {
  return {kind: 'done', result};
}

function retry(error: LogError): AttemptOutcome {
  return {kind: 'retry', error};
}

function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
