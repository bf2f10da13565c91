/** Tells which addresses may be dialled now. */

import type {PeerAddress} from '@cassiaknot/peer-protocol';
import {Backoff} from '../backoff.js';
import type {RandomSource} from '../random.js';

const MIN_REDIAL_MS = 200;
const MAX_REDIAL_MS = 5_000;
const FORGET_AFTER_MS = 60_000;

interface DialState {
  readonly backoff: Backoff;
  nextDialAtMs: number;
  isConnecting: boolean;
}

/** Spaces out the dials to each address. */
export class DialSchedule {
  private readonly dials = new Map<PeerAddress, DialState>();

  constructor(private readonly random: RandomSource) {}

  /** Takes the right to dial an address now. */
  tryBegin(address: PeerAddress): boolean {
    const dial = this.getDial(address);
    if (dial.isConnecting || performance.now() < dial.nextDialAtMs) {
      return false;
    }
    dial.isConnecting = true;
    return true;
  }

  /** Records that a handshake succeeded. */
  recordSuccess(address: PeerAddress): void {
    const dial = this.getDial(address);
    dial.isConnecting = false;
    dial.backoff.reset();
  }

  /** Records that a dial failed or its link ended. */
  recordEnd(address: PeerAddress): void {
    const dial = this.getDial(address);
    dial.isConnecting = false;
    const nextDialAtMs = performance.now() + dial.backoff.next();
    dial.nextDialAtMs = Math.max(dial.nextDialAtMs, nextDialAtMs);
  }

  /** Records that the peer asked to be dialled later. */
  postpone(address: PeerAddress, delayMs: number): void {
    this.getDial(address).nextDialAtMs = performance.now() + delayMs;
  }

  /** Forgets addresses that were not dialled for long. */
  collect(): void {
    const horizonMs = performance.now() - FORGET_AFTER_MS;
    for (const [address, dial] of this.dials) {
      if (dial.isConnecting || dial.nextDialAtMs > horizonMs) continue;
      this.dials.delete(address);
    }
  }

  private getDial(address: PeerAddress): DialState {
    const known = this.dials.get(address);
    if (known) return known;
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
