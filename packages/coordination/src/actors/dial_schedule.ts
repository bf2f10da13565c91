/** Limits how often each address is dialled. */

import type {PeerAddress} from '@cassiaknot/peer-protocol';
import {Backoff} from '../backoff.js';
import type {RandomSource} from '../random.js';
import {randomBetween} from '../random.js';

const MIN_REDIAL_MS = 200;
const MAX_REDIAL_MS = 5_000;
const IDLE_ADDRESS_TTL_MS = 60_000;
/**
 * Time after the start of this process without exponential backoff: after a power
 * loss, the peers are about to listen as well.
 */
export const START_WINDOW_MS = 3_000;
/** Bounds of the delay between two dials of an address in that time. */
const MIN_START_REDIAL_MS = 100;
const MAX_START_REDIAL_MS = 200;

interface DialState {
  readonly backoff: Backoff;
  nextDialAtMs: number;
  isConnecting: boolean;
}

/** Applies backoff to each address and allows it one dial at a time. */
export class DialSchedule {
  private readonly dials = new Map<PeerAddress, DialState>();

  private readonly startedAtMs = performance.now();

  constructor(private readonly random: RandomSource) {}

  /** Starts a dial; returns false while connecting or backing off. */
  tryStart(address: PeerAddress): boolean {
    const dial = this.getOrCreateDial(address);
    if (dial.isConnecting || performance.now() < dial.nextDialAtMs) {
      return false;
    }
    dial.isConnecting = true;
    return true;
  }

  /** Records a completed handshake and resets the backoff. */
  recordSuccess(address: PeerAddress): void {
    const dial = this.getOrCreateDial(address);
    dial.isConnecting = false;
    dial.backoff.reset();
  }

  /** Records that a dial failed or that its link was closed. */
  recordClosed(address: PeerAddress): void {
    const dial = this.getOrCreateDial(address);
    dial.isConnecting = false;
    const nextDialAtMs = performance.now() + this.getDelayMs(dial);
    dial.nextDialAtMs = Math.max(dial.nextDialAtMs, nextDialAtMs);
  }

  private getDelayMs(dial: DialState): number {
    const isStarting = performance.now() - this.startedAtMs < START_WINDOW_MS;
    return isStarting
      ? randomBetween(this.random, MIN_START_REDIAL_MS, MAX_START_REDIAL_MS)
      : dial.backoff.next();
  }

  /** Applies a delay that the peer requested. */
  postpone(address: PeerAddress, delayMs: number): void {
    this.getOrCreateDial(address).nextDialAtMs = performance.now() + delayMs;
  }

  /** Evicts addresses that have not been dialled recently. */
  evictIdle(): void {
    const cutoffMs = performance.now() - IDLE_ADDRESS_TTL_MS;
    for (const [address, dial] of this.dials) {
      if (dial.isConnecting || dial.nextDialAtMs > cutoffMs) continue;
      this.dials.delete(address);
    }
  }

  private getOrCreateDial(address: PeerAddress): DialState {
    const existing = this.dials.get(address);
    if (existing) return existing;
    const options = {minDelayMs: MIN_REDIAL_MS, maxDelayMs: MAX_REDIAL_MS};
    const dial: DialState = {
      backoff: new Backoff(options, this.random),
      nextDialAtMs: 0,
      isConnecting: false,
    };
    this.dials.set(address, dial);
    return dial;
  }
}
