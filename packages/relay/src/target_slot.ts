/**
 * The place beside this gate, and the target that holds it now. An id, a start
 * and a sequence order what is heard, so that late and forged announcements
 * change nothing.
 */

import type {RelayObserver} from './observer.js';
import type {TargetAnnouncement, TargetStart} from './target_announcement.js';
import {isSameStart, orderAnnouncement} from './target_announcement.js';
import type {TargetClient} from './target_client.js';
import {TargetSession} from './target_session.js';

/** What became of an announcement. */
export type AnnouncementOutcome =
  | 'new-target'
  | 'updated'
  | 'draining'
  | 'stale'
  | 'has-left'
  | 'other-address';

/** Collaborators of a {@link TargetSlot}. */
export interface TargetSlotOptions {
  /** `host:port` at which the target of this slot listens. */
  readonly getAddress: () => string;
  readonly newClient: (address: string, slots: number) => TargetClient;
  readonly observer: RelayObserver;
  /** Called when the target, its capacity or its state changes. */
  readonly onChange: () => void;
}

const PART = 'target';

/** Holds the session of the current target. */
export class TargetSlot {
  private session: TargetSession | undefined;

  constructor(private readonly options: TargetSlotOptions) {}

  /** The current session, in any state. */
  getSession(): TargetSession | undefined {
    return this.session;
  }

  /** Takes what a target says of itself. */
  announce(announcement: TargetAnnouncement): AnnouncementOutcome {
    const outcome = this.apply(announcement);
    const {observer} = this.options;
    observer.count('announcement', outcome);
    if (outcome !== 'updated') this.report(outcome, announcement);
    return outcome;
  }

  /** Ends a target that leaves; `false` if it is not the one held. */
  leave(leaving: TargetStart): boolean {
    const held = this.session?.getAnnouncement();
    if (!this.session || !held || !isSameStart(held, leaving)) return false;
    this.report('left', held);
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
    const {session} = this;
    if (!session) return this.replace(announcement);
    const order = orderAnnouncement(session.getAnnouncement(), announcement);
    switch (order) {
      case 'newer-start':
        return this.replace(announcement);
      case 'stale':
        return 'stale';
      case 'newer':
        return this.update(session, announcement);
    }
  }

  private replace(announcement: TargetAnnouncement): AnnouncementOutcome {
    this.session?.end();
    const {newClient, onChange} = this.options;
    const {address, slots, state} = announcement;
    const client = newClient(address, slots);
    this.session = new TargetSession(announcement, client, onChange);
    if (state === 'draining') this.session.drain();
    onChange();
    return state === 'draining' ? 'draining' : 'new-target';
  }

  private update(
    session: TargetSession,
    announcement: TargetAnnouncement,
  ): AnnouncementOutcome {
    const state = session.getState();
    if (state === 'draining' || state === 'ended') return 'has-left';
    const before = session.getAnnouncement();
    session.update(announcement);
    if (announcement.state === 'draining') {
      session.drain();
      return 'draining';
    }
    session.markUp();
    if (before.slots !== announcement.slots) this.options.onChange();
    return 'updated';
  }

  private report(event: string, announcement: TargetAnnouncement): void {
    const {targetId, serviceId, sequence, startedAtMs, state, address} =
      announcement;
    this.options.observer.decide('info', PART, event, {
      targetId,
      serviceId,
      sequence,
      startedAtMs,
      state,
      address,
    });
  }
}
