/** Gate side of a link to one entry, with the calls that the entry has made. */

import type {CallId, RelayFrameOf} from '@cassiaknot/peer-protocol';
import type {RelayObserver} from './observer.js';
import {TransitDelay} from './transit_delay.js';

const COMPONENT = 'gate';
/** Transit delay from which on an offer is logged. */
const LOGGED_TRANSIT_MS = 150;

/**
 * Delay of an offer, or of the event loop, from which on an offer waits until the
 * frames behind it have been read: its withdrawal may be among them.
 */
const DELAYED_OFFER_MS = 100;

/** Dependencies of an {@link EntryConnection}. */
export interface EntryConnectionOptions {
  readonly observer: RelayObserver;
  /** Time by which the event loop is late. */
  readonly getLoopDelayMs: () => number;
}

/** State that a gate keeps for one link. */
export class EntryConnection<Call> {
  /** Calls that are queued or running. */
  readonly calls = new Map<CallId, Call>();
  private readonly transitDelay = new TransitDelay();
  /** Delayed offers that have not been admitted yet. */
  private readonly delayedOffers = new Set<CallId>();

  constructor(private readonly options: EntryConnectionOptions) {}

  /**
   * Admits an offer, with its delay beyond that of the fastest one, unless it is
   * withdrawn right behind.
   */
  receive(
    offer: RelayFrameOf<'offer'>,
    admit: (transitMs: number) => void,
  ): void {
    const transitMs = this.recordTransit(offer);
    this.observeOffer(offer, transitMs);
    const delayMs = Math.max(transitMs, this.options.getLoopDelayMs());
    if (delayMs < DELAYED_OFFER_MS) {
      admit(transitMs);
      return;
    }
    const {callId} = offer;
    this.delayedOffers.add(callId);
    setImmediate(() => {
      if (this.delayedOffers.delete(callId)) admit(transitMs);
    });
  }

  /** Withdraws a delayed offer; `false` if it has been admitted. */
  withdrawDelayed(callId: CallId): boolean {
    if (!this.delayedOffers.delete(callId)) return false;
    this.options.observer.count('withdrawn', 'delayed');
    return true;
  }

  /** Withdraws all delayed offers. */
  close(): void {
    for (const callId of this.delayedOffers) this.withdrawDelayed(callId);
  }

  /**
   * Records the arrival of a frame and returns its delay beyond that of the fastest
   * one; 0 if the entry does not say when it sent the frame.
   */
  recordTransit(frame: RelayFrameOf<'offer' | 'ping'>): number {
    const {sentAtMs, clockEpoch = 0} = frame;
    if (sentAtMs === undefined) return 0;
    const nowMs = performance.now();
    return this.transitDelay.record(sentAtMs, nowMs, clockEpoch);
  }

  private observeOffer(offer: RelayFrameOf<'offer'>, transitMs: number): void {
    this.options.observer.measure('offer-transit', transitMs);
    if (transitMs < LOGGED_TRANSIT_MS) return;
    this.options.observer.log('warn', COMPONENT, 'offer-delayed', {
      requestId: offer.requestId,
      transitMs: Math.round(transitMs),
      remainingMs: Math.round(offer.remainingMs),
    });
  }
}
