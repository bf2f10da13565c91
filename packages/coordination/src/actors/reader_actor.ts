/**
 * Reads the configuration source: continuously while this daemon has the reader
 * role, and once whenever no reader seems to work. If that read succeeds while readers
 * fail, this daemon reads in their place until they reach the source again.
 */

import type {Result} from 'ts-results-es';
import {Backoff} from '../backoff.js';
import type {LogError} from '../configuration_log.js';
import {describeLogError, isSuperseded} from '../configuration_log.js';
import type {
  ConfigurationSource,
  SourceReading,
} from '../configuration_source.js';
import {randomBetween} from '../random.js';
import type {ReaderMessage} from './actor_messages.js';
import type {MessageHandler} from './actor_support.js';
import type {ControlContext} from './control_context.js';

const COMPONENT = 'reader';
const MIN_RETRY_MS = 100;
/** A change must be installed within seconds after the store recovers. */
const MAX_RETRY_MS = 1_000;
/** Maximum delay of the read after the store has come back from an older copy. */
const MAX_REREAD_DELAY_MS = 200;
/** Time for the response of a watch to arrive after a probe has seen its change. */
const WATCH_LAG_MS = 150;
/** Factor of the delay while other readers reach the store. */
const FRESH_RETRY_FACTOR = 4;

/**
 * Reads new versions and passes them to the replica. Several concurrent readers
 * are harmless, so the role needs no lease.
 */
export class ReaderActor implements MessageHandler<ReaderMessage> {
  private readonly source: ConfigurationSource;
  private readonly backoff: Backoff;
  private isReader = false;
  /** Whether this daemon reads in place of readers that do not reach the source. */
  private isSubstitute = false;
  /** When the read that checks for a silent source began, while it is pending. */
  private silenceReadAtMs: number | undefined;
  /** Whether a call to the store, or the delay before a retry, is pending. */
  private isCallPending = false;
  private isProbePending = false;
  /** Revision of the newest version read; undefined after a failed read. */
  private lastRevision: number | undefined;
  /** Revision of the store up to which that version is known to be the newest. */
  private verifiedRevision = 0;
  /** Version that the last catch-up was meant to reach. */
  private attemptedVersion = 0;
  /** Aborts the open watch. */
  private watch: AbortController | undefined;
  /** Ends the pending read of the first configuration. */
  private firstRead: AbortController | undefined;

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
        if (!this.isCallPending) this.readHead();
        return;
      case 'read-if-empty':
        if (this.context.published.getTip().version > 0) return;
        if (!this.isCallPending) this.readFirst();
        return;
      case 'peer-supplies':
        this.firstRead?.abort();
        return;
      case 'probe':
        this.probe();
        return;
      case 'probed':
        this.handleProbe(message.result);
        return;
      case 'verify-watch':
        this.verifyWatch(message.storeRevision);
        return;
      case 'watch-verified':
        this.handleVerification(message);
        return;
      case 'check-silence':
        this.checkSilence();
        return;
      case 'head':
        this.handleHead(message.reading);
        return;
      case 'caught-up':
        this.lastRevision = message.reading.revision;
        this.verifiedRevision = message.reading.revision;
        this.backoff.reset();
        this.endSilenceRead();
        this.scheduleWatch();
        return;
      case 'failed':
        this.scheduleRetry(message.message);
        return;
      case 'superseded':
        this.scheduleReread();
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
    observer.log(
      'info',
      COMPONENT,
      isReader ? 'Acquired the reader role.' : 'Released the reader role.',
    );
    if (!this.isReading()) this.watch?.abort();
    else if (!this.isCallPending) this.readHead();
  }

  private isReading(): boolean {
    return this.isReader || this.isSubstitute;
  }

  // Of the daemons that read a silent source, the first to reach it goes on.
  private endSilenceRead(): void {
    const {silenceReadAtMs} = this;
    this.silenceReadAtMs = undefined;
    if (silenceReadAtMs === undefined || this.isReading()) return;
    const {options, sourceFreshness} = this.context;
    if (!sourceFreshness.hasRecentFailure(performance.now())) return;
    this.isSubstitute = true;
    const message = 'Reading the store in place of readers that fail.';
    options.observer.log('info', COMPONENT, message);
  }

  private releaseIfRecovered(): void {
    if (!this.isSubstitute) return;
    const {options, sourceFreshness} = this.context;
    if (sourceFreshness.hasRecentFailure(performance.now())) return;
    this.isSubstitute = false;
    const message = 'Readers reach the store again.';
    options.observer.log('info', COMPONENT, message);
  }

  private continue(): void {
    this.isCallPending = false;
    this.releaseIfRecovered();
    if (!this.isReading()) return;
    if (this.lastRevision === undefined) this.readHead();
    else this.watchHead(this.lastRevision);
  }

  private readHead(): void {
    this.isCallPending = true;
    void this.source.read().then(result => {
      if (result.isErr()) this.reportFailure(result.error);
      else this.send({kind: 'head', reading: result.value});
    });
  }

  // Reads the first configuration until a peer supplies it: on a slow link, the
  // whole document takes seconds and holds up the compressed one of the peer.
  private readFirst(): void {
    this.isCallPending = true;
    const controller = new AbortController();
    this.firstRead = controller;
    void this.source.read(controller.signal).then(result => {
      this.firstRead = undefined;
      if (result.isOk()) this.send({kind: 'head', reading: result.value});
      else if (controller.signal.aborted) this.send({kind: 'continue'});
      else this.reportFailure(result.error);
    });
  }

  private watchHead(afterRevision: number): void {
    this.isCallPending = true;
    const watch = new AbortController();
    this.watch = watch;
    const {watchTimeoutMs} = this.context.options.timing;
    void this.source
      .waitForNewer(afterRevision, watchTimeoutMs, watch.signal)
      .then(result => {
        if (this.watch !== watch) return;
        if (result.isErr()) this.reportFailure(result.error);
        else this.send({kind: 'head', reading: result.value});
      });
  }

  private handleHead(reading: SourceReading | undefined): void {
    this.watch = undefined;
    if (!reading) {
      this.continue();
      return;
    }
    if (this.isSilenceReadLate()) this.silenceReadAtMs = undefined;
    this.recordContact();
    const {published, readiness} = this.context;
    readiness.recordStoreHead(reading.version);
    const {version} = published.getTip();
    if (reading.version < version) this.reportOlderVersion(reading.version);
    if (reading.version <= version) {
      this.send({kind: 'caught-up', reading});
      return;
    }
    this.context.options.observer.log('info', COMPONENT, 'Read a version.', {
      version: reading.version,
      revision: reading.revision,
    });
    // Prefers a snapshot if the last catch-up did not reach its version.
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

  // An invalid or absent document has version 0 and is reported elsewhere.
  private reportOlderVersion(version: number): void {
    if (version === 0) return;
    const {options, published} = this.context;
    const heldVersion = published.getTip().version;
    const message = 'The store has an older version. Keeping the one held.';
    options.observer.log('warn', COMPONENT, message, {version, heldVersion});
  }

  // Whether another daemon has reached the source while this one read it.
  private isSilenceReadLate(): boolean {
    const {silenceReadAtMs} = this;
    if (silenceReadAtMs === undefined) return false;
    return this.context.sourceFreshness.hasContactSince(silenceReadAtMs);
  }

  // While the pause lasts, further versions are merged into the next response.
  private scheduleWatch(): void {
    const {watchPauseMs} = this.context.options.timing;
    if (watchPauseMs === 0 || !this.isReading()) {
      this.continue();
      return;
    }
    setTimeout(() => this.send({kind: 'continue'}), watchPauseMs);
  }

  // A watch can wait on a connection that is dead, so a reader probes the source
  // on another one.
  private probe(): void {
    if (!this.isReading() || this.isProbePending) return;
    this.isProbePending = true;
    void this.source.probe().then(result => {
      this.send({kind: 'probed', result});
    });
  }

  private handleProbe(result: Result<number, LogError>): void {
    if (result.isErr()) {
      this.handleProbeFailure(result.error);
      return;
    }
    const storeRevision = result.value;
    if (this.watch && storeRevision > this.verifiedRevision) {
      // The probe's connection works, but perhaps not that of the watch.
      setTimeout(
        () => this.send({kind: 'verify-watch', storeRevision}),
        WATCH_LAG_MS,
      );
      return;
    }
    this.isProbePending = false;
    // After a failed read, the source counts as reached once a read succeeds.
    if (this.lastRevision !== undefined) this.recordContact();
  }

  private verifyWatch(storeRevision: number): void {
    const {watch, lastRevision} = this;
    if (!watch || lastRevision === undefined) {
      this.isProbePending = false;
      return;
    }
    void this.source.readIfNewer(lastRevision).then(result => {
      this.send({kind: 'watch-verified', watch, storeRevision, result});
    });
  }

  private handleVerification(
    message: Extract<ReaderMessage, {kind: 'watch-verified'}>,
  ): void {
    const {watch, storeRevision, result} = message;
    // A watch that has ended meanwhile was alive.
    if (watch !== this.watch) {
      this.isProbePending = false;
      return;
    }
    if (result.isErr()) {
      this.handleProbeFailure(result.error);
      return;
    }
    this.isProbePending = false;
    const reading = result.value;
    if (!reading) {
      this.verifiedRevision = storeRevision;
      this.recordContact();
      return;
    }
    const {observer} = this.context.options;
    observer.count('watch-silent');
    observer.log('warn', COMPONENT, 'Watch missed a change. Replacing it.');
    this.watch = undefined;
    watch.abort();
    this.handleHead(reading);
  }

  private handleProbeFailure(error: LogError): void {
    this.isProbePending = false;
    if (isSuperseded(error)) {
      this.lastRevision = undefined;
      this.watch?.abort();
      return;
    }
    const {observer} = this.context.options;
    observer.count('store-read-failed');
    this.recordFailure();
    if (!this.watch) return;
    const reason = describeLogError(error);
    observer.log('warn', COMPONENT, `Probe of the store failed: ${reason}.`);
    this.lastRevision = undefined;
    this.watch.abort();
  }

  private checkSilence(): void {
    if (this.isReading() || this.isCallPending) return;
    const {published, readiness} = this.context;
    if (!readiness.isReady() || published.getTip().version === 0) return;
    const {observer} = this.context.options;
    this.silenceReadAtMs = performance.now();
    this.context.sourceFreshness.recordRead(this.silenceReadAtMs);
    observer.count('source-silent');
    observer.log(
      'info',
      COMPONENT,
      'No reader reaches the store as far as known. Reading it once.',
    );
    this.readHead();
  }

  private recordContact(): void {
    const {directory, sourceFreshness} = this.context;
    const hasRecovered = sourceFreshness.recordContact(performance.now());
    if (hasRecovered) directory.seeds.send({kind: 'store-recovered'});
    directory.links.send({kind: 'relay-contact'});
  }

  private recordFailure(): void {
    this.context.sourceFreshness.recordFailure(performance.now());
  }

  private reportFailure(error: LogError): void {
    if (isSuperseded(error)) {
      this.send({kind: 'superseded'});
      return;
    }
    this.send({kind: 'failed', message: describeLogError(error)});
  }

  private scheduleRetry(message: string): void {
    this.watch = undefined;
    this.isSubstitute = false;
    this.silenceReadAtMs = undefined;
    const {observer} = this.context.options;
    observer.count('store-read-failed');
    observer.log('warn', COMPONENT, `Can't read the store: ${message}.`);
    this.lastRevision = undefined;
    this.recordFailure();
    setTimeout(() => this.send({kind: 'continue'}), this.getRetryDelayMs());
  }

  // The store responds, but what was read of it is void. The version held stays in
  // force until the store has a newer one.
  private scheduleReread(): void {
    this.watch = undefined;
    this.silenceReadAtMs = undefined;
    this.lastRevision = undefined;
    this.verifiedRevision = 0;
    const {observer, random} = this.context.options;
    observer.count('store-restored');
    const message =
      'The store has come back from an older copy. Reading it again.';
    observer.log('warn', COMPONENT, message, {
      heldVersion: this.context.published.getTip().version,
    });
    setTimeout(
      () => this.send({kind: 'continue'}),
      randomBetween(random, 0, MAX_REREAD_DELAY_MS),
    );
  }

  // While other readers reach the store, a retry of this one is less urgent.
  private getRetryDelayMs(): number {
    const {sourceFreshness} = this.context;
    const delayMs = this.backoff.next();
    return sourceFreshness.isFresh(performance.now())
      ? delayMs * FRESH_RETRY_FACTOR
      : delayMs;
  }

  private send(message: ReaderMessage): void {
    this.context.directory.reader.send(message);
  }
}
