/** Reads the store's head while this daemon holds the reader role. */

import {Backoff} from '../backoff.js';
import type {LogError} from '../configuration_log.js';
import {describeLogError} from '../configuration_log.js';
import type {
  ConfigurationSource,
  SourceReading,
} from '../configuration_source.js';
import type {ReaderMessage} from './actor_messages.js';
import type {MessageHandler} from './actor_support.js';
import type {ControlContext} from './control_context.js';

const PART = 'reader';
const MIN_RETRY_MS = 100;
/** A change has to be in force within seconds of the store's return. */
const MAX_RETRY_MS = 1_000;

/**
 * Handles the mailbox of the reader. Two readers at once are harmless, so the
 * role needs no lease.
 */
export class ReaderActor implements MessageHandler<ReaderMessage> {
  private readonly source: ConfigurationSource;
  private readonly backoff: Backoff;
  private isReader = false;
  /** Whether a call to the store or a delay before one is pending. */
  private isBusy = false;
  private lastRevision: number | undefined;
  /** Head version that the last catch-up was to reach. */
  private attemptedVersion = 0;
  private watch: AbortController | undefined;

  constructor(private readonly context: ControlContext) {
    const {random, source} = context.options;
    this.source = source;
    const options = {minDelayMs: MIN_RETRY_MS, maxDelayMs: MAX_RETRY_MS};
    this.backoff = new Backoff(options, random);
  }

  handle(message: ReaderMessage): void {
    switch (message.kind) {
      case 'set-role':
        this.setRole(message.isReader);
        return;
      case 'read-once':
        if (!this.isBusy) this.readHead();
        return;
      case 'head':
        this.takeHead(message.reading);
        return;
      case 'caught-up':
        this.lastRevision = message.reading.revision;
        this.backoff.reset();
        this.continue();
        return;
      case 'failed':
        this.retryLater(message.message);
        return;
      case 'continue':
        this.continue();
        return;
    }
  }

  private setRole(isReader: boolean): void {
    if (isReader === this.isReader) return;
    this.isReader = isReader;
    const {observer} = this.context.options;
    observer.log('info', PART, isReader ? 'Took the role.' : 'Left the role.');
    if (!isReader) this.watch?.abort();
    else if (!this.isBusy) this.readHead();
  }

  private continue(): void {
    this.isBusy = false;
    if (!this.isReader) return;
    if (this.lastRevision === undefined) this.readHead();
    else this.watchHead(this.lastRevision);
  }

  private readHead(): void {
    this.isBusy = true;
    void this.source.read().then(result => {
      if (result.isErr()) this.reportFailure(result.error);
      else this.send({kind: 'head', reading: result.value});
    });
  }

  private watchHead(afterRevision: number): void {
    this.isBusy = true;
    const controller = new AbortController();
    this.watch = controller;
    const {watchTimeoutMs} = this.context.options.timing;
    void this.source
      .waitForNewer(afterRevision, watchTimeoutMs, controller.signal)
      .then(result => {
        if (result.isErr()) this.reportFailure(result.error);
        else this.send({kind: 'head', reading: result.value});
      });
  }

  private takeHead(reading: SourceReading | undefined): void {
    if (!reading) {
      if (!this.source.resumesQuietWatches) this.lastRevision = undefined;
      this.continue();
      return;
    }
    const {published, readiness} = this.context;
    readiness.recordStoreHead(reading.version);
    const {version} = published.getTip();
    if (reading.version <= version) {
      this.send({kind: 'caught-up', reading});
      return;
    }
    const prefersSnapshot = this.attemptedVersion > version;
    this.attemptedVersion = reading.version;
    void reading.readCatchUp(version, prefersSnapshot).then(catchUp => {
      if (catchUp.isErr()) {
        this.reportFailure(catchUp.error);
        return;
      }
      this.context.directory.replica.send({
        kind: 'store-catch-up',
        catchUp: catchUp.value,
      });
      this.send({kind: 'caught-up', reading});
    });
  }

  private reportFailure(error: LogError): void {
    this.send({kind: 'failed', message: describeLogError(error)});
  }

  private retryLater(message: string): void {
    const {observer} = this.context.options;
    observer.count('store-read-failed');
    observer.log('warn', PART, `Can't read the store: ${message}.`);
    this.lastRevision = undefined;
    setTimeout(() => this.send({kind: 'continue'}), this.backoff.next());
  }

  private send(message: ReaderMessage): void {
    this.context.directory.reader.send(message);
  }
}
