/**
 * Tracks the local target. Announcements are matched by target id, ordered by
 * start time and sequence number, and must name the configured address, so that
 * late and forged ones are ignored.
 */

import type {ServiceId} from '@cassiaknot/inventory';
import type {RelayObserver} from './observer.js';
import type {TargetAnnouncement, TargetStart} from './target_announcement.js';
import {compareAnnouncements, isSameStart} from './target_announcement.js';
import type {RelayTargetClient} from './target_client.js';
import {RelayTargetSession} from './target_session.js';

/** Result of an announcement; `has-left` if the target is draining or ended. */
export type AnnouncementOutcome =
  | 'new-target'
  | 'updated'
  | 'draining'
  | 'stale'
  | 'has-left'
  | 'other-address'
  | 'unknown-service';

/** Dependencies of a {@link LocalTarget}. */
export interface LocalTargetOptions {
  /** `host:port` at which the local target listens. */
  readonly getAddress: () => string;
  /**
   * Whether the configuration in force names the service; `true` while there is
   * none.
   */
  readonly isKnownService: (serviceId: ServiceId) => boolean;
  readonly newClient: (address: string, slots: number) => RelayTargetClient;
  readonly observer: RelayObserver;
  /** Called when the target, its number of slots or its state changes. */
  readonly onTargetChange: () => void;
}

const COMPONENT = 'target';
/** Targets that have left whose late announcements are recognised. */
const MAX_DEPARTED = 8;

/** Holds the session of the current target. */
export class LocalTarget {
  private session: RelayTargetSession | undefined;
  /** Earlier targets that have left, oldest first. */
  private readonly departed: TargetStart[] = [];

  constructor(private readonly options: LocalTargetOptions) {}

  /** Returns the current session, whatever its state. */
  getSession(): RelayTargetSession | undefined {
    return this.session;
  }

  /** Applies an announcement of a target. */
  announce(announcement: TargetAnnouncement): AnnouncementOutcome {
    const outcome = this.apply(announcement);
    const {observer} = this.options;
    observer.count('announcement', outcome);
    if (outcome !== 'updated') this.logAnnouncement(outcome, announcement);
    return outcome;
  }

  /** Drains the target that leaves; `false` if it is not the current one. */
  leave(leaving: TargetStart): boolean {
    const known = this.session?.getAnnouncement();
    if (!this.session || !known || !isSameStart(known, leaving)) return false;
    this.logAnnouncement('left', known);
    this.session.drain();
    return true;
  }

  /** Runs the periodic checks of the session. */
  sweep(): void {
    this.session?.sweep();
  }

  private apply(announcement: TargetAnnouncement): AnnouncementOutcome {
    if (announcement.address !== this.options.getAddress()) {
      return 'other-address';
    }
    if (this.hasDeparted(announcement)) return 'has-left';
    const {session} = this;
    const isKnown = this.options.isKnownService(announcement.serviceId);
    if (!session) {
      return isKnown ? this.replace(announcement) : 'unknown-service';
    }
    const order = compareAnnouncements(session.getAnnouncement(), announcement);
    // A target may still leave after its service was removed.
    if (!isKnown && order === 'newer-start') return 'unknown-service';
    if (isKnown && this.isDisproved(session, announcement)) {
      return this.replace(announcement);
    }
    switch (order) {
      case 'newer-start':
        return this.replace(announcement);
      case 'stale':
        return 'stale';
      case 'newer':
        return this.update(session, announcement);
    }
  }

  // Whether the announced target can't be the one at the address, so that another
  // announcement holds whatever its start time.
  private isDisproved(
    session: RelayTargetSession,
    next: TargetAnnouncement,
  ): boolean {
    const {serviceId, targetId} = session.getAnnouncement();
    if (!this.options.isKnownService(serviceId)) return true;
    return session.isMisdirected() && targetId !== next.targetId;
  }

  private replace(announcement: TargetAnnouncement): AnnouncementOutcome {
    this.endSession();
    const {newClient, onTargetChange} = this.options;
    const {address, slots, state} = announcement;
    const client = newClient(address, slots);
    this.session = new RelayTargetSession(announcement, client, onTargetChange);
    if (state === 'draining') this.session.drain();
    onTargetChange();
    return state === 'draining' ? 'draining' : 'new-target';
  }

  // Without a start time, a late announcement can't be told from a restart.
  private hasDeparted({targetId, startedAtMs}: TargetStart): boolean {
    if (startedAtMs === undefined) return false;
    return this.departed.some(
      start => start.targetId === targetId && start.startedAtMs === startedAtMs,
    );
  }

  private endSession(): void {
    const {session} = this;
    if (!session) return;
    if (session.hasLeft()) this.departed.push(session.getAnnouncement());
    if (this.departed.length > MAX_DEPARTED) this.departed.shift();
    session.end();
  }

  private update(
    session: RelayTargetSession,
    announcement: TargetAnnouncement,
  ): AnnouncementOutcome {
    const state = session.getState();
    if (state === 'draining' || state === 'ended') return 'has-left';
    const previous = session.getAnnouncement();
    session.update(announcement);
    if (announcement.state === 'draining') {
      session.drain();
      return 'draining';
    }
    session.markUp();
    if (previous.slots !== announcement.slots) this.options.onTargetChange();
    return 'updated';
  }

  private logAnnouncement(
    event: string,
    announcement: TargetAnnouncement,
  ): void {
    const {targetId, serviceId, sequence, startedAtMs, state, address} =
      announcement;
    this.options.observer.log('info', COMPONENT, event, {
      targetId,
      serviceId,
      sequence,
      startedAtMs,
      state,
      address,
    });
  }
}
