/** Where readers learn the accepted configuration from. */

import {createHash} from 'node:crypto';
import type {InventoryRecord} from '@cassiaknot/inventory';
import {newStateFromRecords} from '@cassiaknot/inventory';
import type {KeyValue, KeyValueStore} from '@cassiaknot/store';
import {ABSENT_REVISION} from '@cassiaknot/store';
import type {Result} from 'ts-results-es';
import {Err, Ok} from 'ts-results-es';
import type {CatchUp, HeadReading, LogError} from './configuration_log.js';
import {ConfigurationLog, storeFailed} from './configuration_log.js';

/** The newest version of a source, with the store revision it was read at. */
export interface SourceReading {
  readonly version: number;
  readonly revision: number;
  /** Reads what leads from a held version to this one. */
  readCatchUp(
    sinceVersion: number,
    prefersSnapshot: boolean,
  ): Promise<Result<CatchUp, LogError>>;
}

/** A source of configuration versions; only readers call it. */
export interface ConfigurationSource {
  /** Whether a watch that ends quietly can go on from the same revision. */
  readonly resumesQuietWatches: boolean;
  /** Reads the newest version. */
  read(): Promise<Result<SourceReading, LogError>>;
  /** Waits for a newer one; `undefined` after the time limit. */
  waitForNewer(
    afterRevision: number,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<SourceReading | undefined, LogError>>;
}

/** The project's own change log, written by the command line. */
export class LogSource implements ConfigurationSource {
  // A quiet watch of this store may have missed writes.
  readonly resumesQuietWatches = false;
  private readonly log: ConfigurationLog;

  constructor(store: KeyValueStore) {
    this.log = new ConfigurationLog(store);
  }

  async read(): Promise<Result<SourceReading, LogError>> {
    const reading = await this.log.readHead();
    return reading.map(head => this.toReading(head));
  }

  async waitForNewer(
    afterRevision: number,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<SourceReading | undefined, LogError>> {
    const reading = await this.log.waitForHead(
      afterRevision,
      timeoutMs,
      signal,
    );
    return reading.map(head => head && this.toReading(head));
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

/** A whole configuration as decoded from one document. */
export interface DecodedDocument {
  readonly version: number;
  readonly records: readonly InventoryRecord[];
}

/** Decodes a document; an error says why it can't be used. */
export type DocumentDecoder = (text: string) => Result<DecodedDocument, string>;

/** Told of a document that can't be used. */
export type DocumentRefusal = (
  revision: number,
  reason: string,
  fingerprint: string,
) => void;

const FINGERPRINT_CHARS = 12;

/** A single key that holds the whole configuration, written by others. */
export class DocumentSource implements ConfigurationSource {
  readonly resumesQuietWatches = true;

  constructor(
    private readonly store: KeyValueStore,
    private readonly key: string,
    private readonly decode: DocumentDecoder,
    private readonly onRefused: DocumentRefusal,
  ) {}

  async read(): Promise<Result<SourceReading, LogError>> {
    const answer = await this.store.get(this.key);
    if (answer.isErr()) return storeFailed(answer.error);
    if (!answer.value) return Ok(newEmptyReading(ABSENT_REVISION));
    return Ok(this.toReading(answer.value));
  }

  async waitForNewer(
    afterRevision: number,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<SourceReading | undefined, LogError>> {
    const answer = await this.store.waitForChange({
      key: this.key,
      afterRevision,
      timeoutMs,
      signal,
    });
    if (answer.isErr()) return Err({kind: 'store', error: answer.error});
    return Ok(answer.value && this.toReading(answer.value));
  }

  // A document that can't be used leaves the version in force where it is.
  private toReading(stored: KeyValue): SourceReading {
    const {revision, value} = stored;
    const decoded = this.decode(value);
    if (decoded.isErr()) {
      const hash = createHash('sha256').update(value).digest('hex');
      const fingerprint = hash.slice(0, FINGERPRINT_CHARS);
      this.onRefused(revision, decoded.error, fingerprint);
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

function newEmptyReading(revision: number): SourceReading {
  return {
    version: 0,
    revision,
    readCatchUp: () => Promise.resolve(Ok({snapshot: undefined, changes: []})),
  };
}
