/**
 * Tracks when a daemon of the mesh last reached the source of the configuration.
 * Heartbeats spread the newest contact, so each daemon notices when no reader
 * works any more, whether the readers have failed silently, are cut off from the
 * source, or this daemon is cut off from them.
 */

/** Ages of the newest contact and failure that a daemon knows of. */
export interface SourceAges {
  /** Time since a daemon reached the source. */
  readonly contactAgeMs: number;
  /** Time since a daemon failed to reach it; undefined if none did. */
  readonly failureAgeMs?: number;
}

export interface SourceFreshnessOptions {
  /** Time without a contact after which this daemon reads the source itself. */
  readonly silenceMs: number;
  /**
   * Age difference at which a newer contact is passed on at once instead of with
   * the next heartbeat.
   */
  readonly relayStepMs: number;
}

/** Stagger between daemons of adjacent rank when nothing is heard of readers. */
const SILENCE_STAGGER_MS = 50;
/** Minimum time between two reads of this daemon while it hears of no reader. */
const SILENCE_READ_INTERVAL_MS = 1_000;
/**
 * Stagger while readers report failures. The daemons of the first ranks check in
 * turn whether they reach the source; the others do not add to the load of a
 * source that is in trouble.
 */
const FAILURE_STAGGER_MS = 1_000;
const FAILURE_RANKS = 8;
/** Time after a failure for which readers may still fail to reach the source. */
const RECENT_FAILURE_MS = 5_000;

/** Contacts and failures known to one daemon, in its own time. */
export class SourceFreshness {
  private contactAtMs: number;
  private relayedContactAtMs: number;
  private failureAtMs = -Infinity;
  private readAtMs = -Infinity;

  constructor(
    private readonly options: SourceFreshnessOptions,
    nowMs: number,
  ) {
    this.contactAtMs = nowMs;
    this.relayedContactAtMs = nowMs;
  }

  /** Records a contact of this daemon; `true` if an outage has just ended. */
  recordContact(nowMs: number): boolean {
    return this.merge({contactAgeMs: 0}, nowMs);
  }

  /** Records that this daemon failed to reach the source. */
  recordFailure(nowMs: number): void {
    this.failureAtMs = Math.max(this.failureAtMs, nowMs);
  }

  /** Merges what a peer knows; `true` if a source outage has just ended. */
  merge(ages: SourceAges, nowMs: number): boolean {
    const wasFailing = this.isFailing();
    const {contactAgeMs, failureAgeMs} = ages;
    this.contactAtMs = Math.max(this.contactAtMs, nowMs - contactAgeMs);
    if (failureAgeMs !== undefined) {
      this.failureAtMs = Math.max(this.failureAtMs, nowMs - failureAgeMs);
    }
    return wasFailing && !this.isFailing();
  }

  /** Whether the newest contact is to be passed on without delay. */
  isRelayDue(): boolean {
    const {relayStepMs} = this.options;
    return this.contactAtMs - this.relayedContactAtMs >= relayStepMs;
  }

  /** Returns what a heartbeat tells the peers. */
  getAges(nowMs: number): SourceAges {
    this.relayedContactAtMs = this.contactAtMs;
    const contactAgeMs = Math.round(nowMs - this.contactAtMs);
    if (this.failureAtMs === -Infinity) return {contactAgeMs};
    return {contactAgeMs, failureAgeMs: Math.round(nowMs - this.failureAtMs)};
  }

  /** Whether a reader has reached the source recently. */
  isFresh(nowMs: number): boolean {
    return nowMs - this.contactAtMs < this.options.silenceMs;
  }

  /** Whether a daemon is known to have reached the source since a time. */
  hasContactSince(timeMs: number): boolean {
    return this.contactAtMs > timeMs;
  }

  /** Whether a daemon has failed to reach the source a short time ago. */
  hasRecentFailure(nowMs: number): boolean {
    return nowMs - this.failureAtMs < RECENT_FAILURE_MS;
  }

  /** Returns when a daemon of this rank is to read the source itself. */
  getReadDueMs(rank: number): number {
    const silentAtMs = this.contactAtMs + this.options.silenceMs;
    if (!this.isFailing()) {
      return Math.max(
        silentAtMs + rank * SILENCE_STAGGER_MS,
        this.readAtMs + SILENCE_READ_INTERVAL_MS,
      );
    }
    if (rank >= FAILURE_RANKS) return Infinity;
    return Math.max(
      silentAtMs + rank * FAILURE_STAGGER_MS,
      this.readAtMs + FAILURE_RANKS * FAILURE_STAGGER_MS,
    );
  }

  /** Records that this daemon reads the source because it hears of no reader. */
  recordRead(nowMs: number): void {
    this.readAtMs = nowMs;
  }

  /** Starts to wait for a contact, without one of this daemon itself. */
  restartSilence(nowMs: number): void {
    this.contactAtMs = nowMs;
    this.relayedContactAtMs = nowMs;
  }

  /** Excludes a pause of this process from the time without contact. */
  adjustForPause(nowMs: number, pausedMs: number): void {
    this.contactAtMs = Math.min(nowMs, this.contactAtMs + pausedMs);
  }

  private isFailing(): boolean {
    return this.failureAtMs > this.contactAtMs;
  }
}
