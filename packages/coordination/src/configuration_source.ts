/** Sources from which readers obtain the configuration. */

import {createHash} from 'node:crypto';
import type {InventoryRecord} from '@cassiaknot/inventory';
import {newStateFromRecords} from '@cassiaknot/inventory';
import type {KeyValue, KeyValueStore} from '@cassiaknot/store';
import {ABSENT_REVISION} from '@cassiaknot/store';
import type {Result} from 'ts-results-es';
import {Err, Ok} from 'ts-results-es';
import type {CatchUp, HeadReading, LogError} from './configuration_log.js';
import {ConfigurationLog, newStoreError} from './configuration_log.js';

/** The newest version of a source and its revision in the store. */
export interface SourceReading {
  readonly version: number;
  readonly revision: number;
  /** Reads what is needed to advance from a given version to this one. */
  readCatchUp(
    sinceVersion: number,
    prefersSnapshot: boolean,
  ): Promise<Result<CatchUp, LogError>>;
}

/** A source of configuration versions; called by readers only. */
export interface ConfigurationSource {
  /** Reads the newest version; aborting the signal ends the read as failed. */
  read(signal?: AbortSignal): Promise<Result<SourceReading, LogError>>;
  /**
   * Checks with a small read whether the source responds. Returns the revision of
   * its store, which writes to other keys increase as well and which may be seconds
   * old.
   */
  probe(): Promise<Result<number, LogError>>;
  /** Reads the newest version without waiting; `undefined` if none is newer. */
  readIfNewer(
    afterRevision: number,
  ): Promise<Result<SourceReading | undefined, LogError>>;
  /** Waits for a newer version; `undefined` after the timeout. */
  waitForNewer(
    afterRevision: number,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<SourceReading | undefined, LogError>>;
}

/** The change log that the command-line tool writes. */
export class LogSource implements ConfigurationSource {
  private readonly log: ConfigurationLog;

  constructor(private readonly store: KeyValueStore) {
    this.log = new ConfigurationLog(store);
  }

  probe(): Promise<Result<number, LogError>> {
    return probeStore(this.store);
  }

  async read(): Promise<Result<SourceReading, LogError>> {
    const result = await this.log.readHead();
    return result.map(reading => this.toReading(reading));
  }

  async readIfNewer(
    afterRevision: number,
  ): Promise<Result<SourceReading | undefined, LogError>> {
    const result = await this.read();
    return result.map(reading =>
      reading.revision > afterRevision ? reading : undefined,
    );
  }

  async waitForNewer(
    afterRevision: number,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<SourceReading | undefined, LogError>> {
    const result = await this.log.waitForHead(afterRevision, timeoutMs, signal);
    return result.map(reading => reading && this.toReading(reading));
  }

  private toReading(reading: HeadReading): SourceReading {
    const {head, revision} = reading;
    return {
      version: head.version,
      revision,
      readCatchUp: (sinceVersion, prefersSnapshot) =>
        this.log.readCatchUp(head, sinceVersion, prefersSnapshot),
    };
  }
}

/** A complete configuration decoded from one document. */
export interface DecodedDocument {
  readonly version: number;
  readonly records: readonly InventoryRecord[];
}

/** Decodes a document; the error says why it is invalid. */
export type DocumentDecoder = (text: string) => Result<DecodedDocument, string>;

/** Called with the reason when a document is invalid. */
export type DocumentRejectionHandler = (
  revision: number,
  reason: string,
  documentHash: string,
) => void;

const DOCUMENT_HASH_CHARS = 12;
/** Wait of a watch that returns at once; it reads the document only if changed. */
const NO_WAIT_MS = 1;

/** A single key with the complete configuration, written by another system. */
export class DocumentSource implements ConfigurationSource {
  constructor(
    private readonly store: KeyValueStore,
    private readonly key: string,
    private readonly decode: DocumentDecoder,
    private readonly onRejected: DocumentRejectionHandler,
  ) {}

  probe(): Promise<Result<number, LogError>> {
    return probeStore(this.store);
  }

  readIfNewer(
    afterRevision: number,
  ): Promise<Result<SourceReading | undefined, LogError>> {
    return this.waitForNewer(afterRevision, NO_WAIT_MS);
  }

  async read(signal?: AbortSignal): Promise<Result<SourceReading, LogError>> {
    const options = signal ? {signal} : {};
    const result = await this.store.get(this.key, options);
    if (result.isErr()) return newStoreError(result.error);
    if (!result.value) return Ok(newEmptyReading(ABSENT_REVISION));
    return Ok(this.toReading(result.value));
  }

  async waitForNewer(
    afterRevision: number,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<Result<SourceReading | undefined, LogError>> {
    const result = await this.store.waitForChange({
      key: this.key,
      afterRevision,
      timeoutMs,
      ...(signal ? {signal} : {}),
    });
    if (result.isErr()) return Err({kind: 'store', error: result.error});
    return Ok(result.value && this.toReading(result.value));
  }

  // An invalid document leaves the installed version unchanged.
  private toReading(stored: KeyValue): SourceReading {
    const {revision, value} = stored;
    const decoded = this.decode(value);
    if (decoded.isErr()) {
      const hash = createHash('sha256').update(value).digest('hex');
      const documentHash = hash.slice(0, DOCUMENT_HASH_CHARS);
      this.onRejected(revision, decoded.error, documentHash);
      return newEmptyReading(revision);
    }
    const {version, records} = decoded.value;
    const {digest} = newStateFromRecords(version, records);
    const snapshot = {version, digest, records};
    return {
      version,
      revision,
      readCatchUp: () => Promise.resolve(Ok({snapshot, changes: []})),
    };
  }
}

async function probeStore(
  store: KeyValueStore,
): Promise<Result<number, LogError>> {
  const result = await store.getStaleRevision();
  if (result.isErr()) return newStoreError(result.error);
  return Ok(result.value);
}

function newEmptyReading(revision: number): SourceReading {
  return {
    version: 0,
    revision,
    readCatchUp: () => Promise.resolve(Ok({snapshot: undefined, changes: []})),
  };
}
