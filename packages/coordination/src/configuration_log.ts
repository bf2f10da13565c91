/** Reads the committed configuration from the store. */

import type {
  Change,
  ConfigurationState,
  InventoryRecord,
} from '@cassiaknot/inventory';
import type {VersionedChange} from '@cassiaknot/peer-protocol';
import type {KeyValueStore, StoreError} from '@cassiaknot/store';
import {ABSENT_REVISION} from '@cassiaknot/store';
import type {Result} from 'ts-results-es';
import {Err, Ok} from 'ts-results-es';
import type {StateSnapshot} from './config_replica.js';
import {ConfigReplica} from './config_replica.js';
import type {
  CommittedChange,
  ConfigurationHead,
  SnapshotReference,
} from './configuration_head.js';
import {
  EMPTY_HEAD,
  HEAD_KEY,
  getChangeKey,
  getSnapshotPartKey,
  parseChange,
  parseHead,
  parseSnapshotPart,
} from './configuration_head.js';

/** The stored data is unreadable or inconsistent with the head. */
export interface CorruptLogError {
  readonly kind: 'corrupt-log';
  readonly message: string;
}

/** Why the configuration could not be read. */
export type LogError =
  {readonly kind: 'store'; readonly error: StoreError} | CorruptLogError;

/** A head and its revision in the store. */
export interface HeadReading {
  readonly head: ConfigurationHead;
  readonly revision: number;
}

/** Changes to apply after an optional snapshot. */
export interface CatchUp {
  readonly snapshot: StateSnapshot | undefined;
  readonly changes: readonly VersionedChange[];
}

/** Read access to the configuration in the store. */
export class ConfigurationLog {
  constructor(private readonly store: KeyValueStore) {}

  /** Reads the head; a store without a head is at version 0. */
  async readHead(): Promise<Result<HeadReading, LogError>> {
    const result = await this.store.get(HEAD_KEY);
    if (result.isErr()) return newStoreError(result.error);
    const stored = result.value;
    if (!stored) return Ok({head: EMPTY_HEAD, revision: ABSENT_REVISION});
    return parseHeadReading(stored.value, stored.revision);
  }

  /** Waits for a head newer than a revision; `undefined` after the timeout. */
  async waitForHead(
    afterRevision: number,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<HeadReading | undefined, LogError>> {
    const request = {key: HEAD_KEY, afterRevision, timeoutMs, signal};
    const result = await this.store.waitForChange(request);
    if (result.isErr()) return newStoreError(result.error);
    const change = result.value;
    if (!change) return Ok(undefined);
    return parseHeadReading(change.value, change.revision);
  }

  /**
   * Reads what is needed to advance from a version to the head: the changes, or
   * a newer snapshot if some changes are not listed or `prefersSnapshot` is
   * set.
   */
  async readCatchUp(
    head: ConfigurationHead,
    sinceVersion: number,
    prefersSnapshot = false,
  ): Promise<Result<CatchUp, LogError>> {
    const entries = listChangesAfter(head, sinceVersion);
    const hasNewerSnapshot = (head.snapshot?.version ?? 0) > sinceVersion;
    if (entries && !(prefersSnapshot && hasNewerSnapshot)) {
      const changes = await this.readChanges(head, entries);
      return changes.map(list => ({snapshot: undefined, changes: list}));
    }
    if (!head.snapshot) return corruptLog('history too short and no snapshot');
    const snapshot = await this.readSnapshot(head.snapshot);
    if (snapshot.isErr()) return Err(snapshot.error);
    const after = listChangesAfter(head, head.snapshot.version) ?? [];
    const changes = await this.readChanges(head, after);
    return changes.map(list => ({snapshot: snapshot.value, changes: list}));
  }

  /** Reads the complete state at a head. */
  async readState(
    head: ConfigurationHead,
  ): Promise<Result<ConfigurationState, LogError>> {
    const replica = new ConfigReplica();
    if (head.version === 0) return Ok(replica.getInstalled());
    const catchUp = await this.readCatchUp(head, 0);
    if (catchUp.isErr()) return Err(catchUp.error);
    if (catchUp.value.snapshot) replica.applySnapshot(catchUp.value.snapshot);
    replica.applyChanges(catchUp.value.changes);
    const state = replica.getInstalled();
    if (state.version === head.version && state.digest === head.digest) {
      return Ok(state);
    }
    return corruptLog(
      `state at version ${head.version} cannot be rebuilt: got version ${state.version} with digest ${state.digest}, expected digest ${head.digest}`,
    );
  }

  /** Reads the changes after a version, or undefined if some are not listed. */
  async readChangesAfter(
    head: ConfigurationHead,
    version: number,
  ): Promise<Result<readonly VersionedChange[] | undefined, LogError>> {
    const entries = listChangesAfter(head, version);
    return entries ? this.readChanges(head, entries) : Ok(undefined);
  }

  private async readChanges(
    head: ConfigurationHead,
    entries: readonly CommittedChange[],
  ): Promise<Result<readonly VersionedChange[], LogError>> {
    const changes: VersionedChange[] = [];
    for (const entry of entries) {
      const change = await this.readChange(head, entry);
      if (change.isErr()) return Err(change.error);
      const {version, digest} = entry;
      changes.push({version, digest, change: change.value});
    }
    return Ok(changes);
  }

  private async readChange(
    head: ConfigurationHead,
    entry: CommittedChange,
  ): Promise<Result<Change, LogError>> {
    const inline = head.inlineChange;
    if (inline?.changeId === entry.changeId) return Ok(inline);
    const result = await this.store.get(getChangeKey(entry.changeId));
    if (result.isErr()) return newStoreError(result.error);
    if (!result.value) return corruptLog(`change ${entry.changeId} is missing`);
    const change = parseChange(result.value.value);
    return change.isOk()
      ? Ok(change.value)
      : corruptLog(`change ${entry.changeId}: ${change.error}`);
  }

  private async readSnapshot(
    reference: SnapshotReference,
  ): Promise<Result<StateSnapshot, LogError>> {
    const records: InventoryRecord[] = [];
    for (let part = 0; part < reference.partCount; part += 1) {
      const key = getSnapshotPartKey(reference.snapshotId, part);
      const result = await this.store.get(key);
      if (result.isErr()) return newStoreError(result.error);
      if (!result.value) return corruptLog(`${key} is missing`);
      const parsed = parseSnapshotPart(result.value.value);
      if (parsed.isErr()) return corruptLog(`${key}: ${parsed.error}`);
      records.push(...parsed.value);
    }
    const {version, digest} = reference;
    return Ok({version, digest, records});
  }
}

/** Wraps a failed store call. */
export function newStoreError(error: StoreError): Err<LogError> {
  return Err({kind: 'store', error});
}

/** Whether a call failed because the store has come back from an older copy. */
export function isSuperseded(error: LogError): boolean {
  return error.kind === 'store' && error.error.kind === 'superseded';
}

/** Describes a log error for a log line or an error message. */
export function describeLogError(error: LogError): string {
  if (error.kind === 'corrupt-log') return `corrupt log: ${error.message}`;
  return `store ${error.error.kind}: ${error.error.message}`;
}

function corruptLog(message: string): Err<LogError> {
  return Err({kind: 'corrupt-log', message});
}

function parseHeadReading(
  text: string,
  revision: number,
): Result<HeadReading, LogError> {
  const head = parseHead(text);
  if (head.isErr()) return corruptLog(`${HEAD_KEY}: ${head.error}`);
  return Ok({head: head.value, revision});
}

function listChangesAfter(
  head: ConfigurationHead,
  version: number,
): readonly CommittedChange[] | undefined {
  if (version >= head.version) return [];
  const first = head.history[0];
  if (!first || first.version > version + 1) return undefined;
  return head.history.filter(entry => entry.version > version);
}
