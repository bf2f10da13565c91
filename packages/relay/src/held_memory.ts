/**
 * Bounds the bytes that a process holds for its connections, in both directions:
 * requests, their bodies and their answers. Bytes are reserved before they are read
 * and given back once they are no longer needed. If they don't fit, holders that make
 * no progress yield first; the others wait.
 */

import {countReadBytes, countReleasedBytes} from './buffer_collection.js';
import type {BodyHolding, BodyMemory} from '@cassiaknot/peer-protocol';
import type {RelayObserver} from './observer.js';

/** What bytes are held for; `request` and `offer` never yield, as they may run. */
export type HeldKind = 'request' | 'upload' | 'offer' | 'response' | 'answer';

const MIB = 1_024 * 1_024;
const BYTES_PER_MB = MIB;
/** Memory of the smallest instance, assumed if the settings state none. */
export const DEFAULT_MEMORY_MB = 250;
/**
 * Memory of an idle daemon (70 MB, 117 MB at its start), of requests on the heap, and of
 * buffers that have not been collected.
 */
const BASE_MEMORY_MB = 150;
/**
 * Part of the rest that is held; the remainder covers copies made for links. With these
 * figures, 64 MiB fit beside {@link SMALL_SHARE} on the smallest instance.
 */
const HELD_SHARE = 0.76;
const MIN_HELD_MB = 16;
/** Part that reservations of more than {@link SMALL_BYTES} leave to the others. */
const SMALL_SHARE = 1 / 8;
/** Reservations up to this size don't wait behind longer ones. */
export const SMALL_BYTES = 64 * 1_024;
/**
 * Time without {@link PROGRESS_BYTES} after which a holder yields if others wait. A
 * caller at 160 KiB/s or more is never affected.
 */
export const STALL_MS = 400;
const PROGRESS_BYTES = 64 * 1_024;
/** Interval of the checks for holders that have stalled, while others wait. */
const CHECK_INTERVAL_MS = 50;
const COMPONENT = 'memory';
/** At most one log line per interval; the counters have all events. */
const LOG_INTERVAL_MS = 200;

/** Returns the bytes to hold at most in a process with the given memory. */
export function toHeldBytes(memoryMb: number): number {
  const heldMb = (memoryMb - BASE_MEMORY_MB) * HELD_SHARE;
  return Math.floor(Math.max(MIN_HELD_MB, heldMb) * BYTES_PER_MB);
}

/** A reservation that waits until it fits. */
interface Waiter {
  readonly holding: Holding;
  readonly bytes: number;
  readonly expiresAtMs: number;
  readonly settle: (isGranted: boolean) => void;
}

/** Shares a fixed number of bytes among all holders. */
export class HeldMemory implements BodyMemory {
  private readonly holdings = new Set<Holding>();
  private readonly byBody = new WeakMap<Uint8Array, Holding>();
  private waiters: Waiter[] = [];
  private heldBytes = 0;
  private answerBytes = 0;
  /** Bytes queued for other instances, as sampled. */
  private linkBytes = 0;
  private timer: NodeJS.Timeout | undefined;
  private observer: RelayObserver | undefined;
  private loggedAtMs = -Infinity;

  constructor(private maxBytes: number) {}

  /** Sets the bound, and who is told of refusals. */
  configure(maxBytes: number, observer: RelayObserver): void {
    this.maxBytes = maxBytes;
    this.observer = observer;
  }

  getMaxBytes(): number {
    return this.maxBytes;
  }

  getHeldBytes(): number {
    return this.heldBytes;
  }

  getWaitingCount(): number {
    return this.waiters.length;
  }

  /** Counts the bytes that wait to be sent to other instances. */
  setLinkBytes(bytes: number): void {
    this.linkBytes = bytes;
  }

  /** Opens an empty holding; `onYield` must end what it is for. */
  open(kind: HeldKind, onYield: () => void): Holding {
    const holding = new Holding(this, kind, onYield);
    this.holdings.add(holding);
    return holding;
  }

  /**
   * Holds a body that is in memory already; `undefined` if it doesn't fit. One that
   * entry and gate of the same process hold is counted once.
   */
  retain(body: Uint8Array, kind: HeldKind): Holding | undefined {
    const known = this.byBody.get(body);
    if (known?.isOpen()) {
      known.addUser();
      return known;
    }
    const holding = this.open(kind, () => undefined);
    if (!holding.tryGrow(body.byteLength)) {
      holding.release();
      return undefined;
    }
    this.byBody.set(body, holding);
    return holding;
  }

  /** Holds the memory of a body that arrives over a link. */
  hold(bytes: number): BodyHolding | undefined {
    const holding = this.open('offer', () => undefined);
    if (!holding.tryGrow(bytes)) {
      holding.release();
      return undefined;
    }
    return {
      setBody: body => this.setBody(holding, body),
      release: () => holding.release(),
    };
  }

  /** Counts bytes that were copied into buffers of their own. */
  countBytes(bytes: number): void {
    countReadBytes(bytes);
  }

  /** Names the body of a holding, for {@link retain}. */
  setBody(holding: Holding, body: Uint8Array): void {
    this.byBody.set(body, holding);
  }

  /** Used by {@link Holding.tryGrow}. */
  tryReserve(holding: Holding, bytes: number): boolean {
    while (!this.fits(bytes) || !this.fitsAnswers(holding, bytes)) {
      if (this.makeStalledYield(holding)) continue;
      if (holding.kind === 'answer' && this.makeLargestAnswerYield(holding)) {
        continue;
      }
      this.report('refused', holding, bytes);
      return false;
    }
    this.heldBytes += bytes;
    if (holding.kind === 'answer') this.answerBytes += bytes;
    return true;
  }

  /** Used by {@link Holding.whenGrown}. */
  whenReserved(
    holding: Holding,
    bytes: number,
    timeoutMs: number,
  ): Promise<boolean> {
    const isFirst = bytes <= SMALL_BYTES || this.waiters.length === 0;
    if (isFirst && this.fits(bytes)) {
      this.heldBytes += bytes;
      if (holding.kind === 'answer') this.answerBytes += bytes;
      holding.handleGrant(bytes);
      return Promise.resolve(true);
    }
    this.observer?.count('memory-wait', holding.kind);
    return new Promise(resolve => {
      const expiresAtMs = performance.now() + timeoutMs;
      this.waiters.push({holding, bytes, expiresAtMs, settle: resolve});
      this.timer ??= setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();
    });
  }

  /** Used by {@link Holding.release}. */
  handleRelease(holding: Holding, bytes: number): void {
    if (!this.holdings.delete(holding)) return;
    this.heldBytes -= bytes;
    if (holding.kind === 'answer') this.answerBytes -= bytes;
    countReleasedBytes(bytes);
    this.dropWaiters(waiter => waiter.holding === holding);
    this.grantWaiting();
  }

  // Long reservations leave room for short ones, so that ordinary requests are
  // served beside them.
  private fits(bytes: number): boolean {
    const reservedBytes =
      bytes > SMALL_BYTES ? Math.floor(this.maxBytes * SMALL_SHARE) : 0;
    const usedBytes = this.heldBytes + this.linkBytes;
    return usedBytes + bytes <= this.maxBytes - reservedBytes;
  }

  // Unread answers leave half of the memory to others; a single one may use all of it.
  private fitsAnswers(holding: Holding, bytes: number): boolean {
    if (holding.kind !== 'answer' || this.answerBytes === 0) return true;
    return this.answerBytes + bytes <= this.maxBytes / 2;
  }

  private grantWaiting(): void {
    for (;;) {
      const [first] = this.waiters;
      if (!first || !this.fits(first.bytes)) break;
      this.waiters.shift();
      this.heldBytes += first.bytes;
      if (first.holding.kind === 'answer') this.answerBytes += first.bytes;
      first.holding.handleGrant(first.bytes);
      first.settle(true);
    }
    if (this.waiters.length > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private check(): void {
    const nowMs = performance.now();
    this.dropWaiters(({holding, bytes, expiresAtMs}) => {
      if (nowMs < expiresAtMs) return false;
      this.report('expired', holding, bytes);
      return true;
    });
    const [first] = this.waiters;
    while (first && this.waiters[0] === first && !this.fits(first.bytes)) {
      if (!this.makeStalledYield(first.holding)) break;
    }
    this.grantWaiting();
  }

  private dropWaiters(isDropped: (waiter: Waiter) => boolean): void {
    const dropped = this.waiters.filter(isDropped);
    if (dropped.length === 0) return;
    this.waiters = this.waiters.filter(waiter => !dropped.includes(waiter));
    for (const {settle} of dropped) settle(false);
  }

  /** Makes the holding yield that has made no progress for longest, if one stalls. */
  private makeStalledYield(requester: Holding): boolean {
    let stalled: Holding | undefined;
    for (const holding of this.holdings) {
      if (holding === requester || !holding.mayYield()) continue;
      if (stalled && holding.progressAtMs >= stalled.progressAtMs) continue;
      stalled = holding;
    }
    if (!stalled || performance.now() - stalled.progressAtMs < STALL_MS) {
      return false;
    }
    this.yield(stalled, 'stalled');
    return true;
  }

  // An answer has run already, so it can't be refused.
  private makeLargestAnswerYield(requester: Holding): boolean {
    let largest: Holding | undefined;
    for (const holding of this.holdings) {
      if (holding === requester || holding.kind !== 'answer') continue;
      if (largest && holding.getSize() <= largest.getSize()) continue;
      largest = holding;
    }
    if (!largest || largest.getSize() === 0) return false;
    this.yield(largest, 'largest');
    return true;
  }

  private yield(holding: Holding, reason: string): void {
    this.report(`yielded-${reason}`, holding, holding.getSize());
    holding.yield();
  }

  private report(event: string, holding: Holding, bytes: number): void {
    const {observer} = this;
    if (!observer) return;
    observer.count('memory', `${event}-${holding.kind}`);
    const nowMs = performance.now();
    if (nowMs - this.loggedAtMs < LOG_INTERVAL_MS) return;
    this.loggedAtMs = nowMs;
    observer.log('warn', COMPONENT, event, {
      kind: holding.kind,
      bytes,
      heldBytes: this.heldBytes,
      linkBytes: this.linkBytes,
      maxBytes: this.maxBytes,
      waiting: this.waiters.length,
      stalledMs: Math.round(nowMs - holding.progressAtMs),
    });
  }
}

/** Bytes held for one purpose. */
export class Holding {
  /** Last time at which enough bytes had arrived, or had been written. */
  progressAtMs = performance.now();
  private progressBytes = 0;
  private size = 0;
  private userCount = 1;
  private isFinal = false;
  private isWaiting = false;

  constructor(
    private readonly memory: HeldMemory,
    readonly kind: HeldKind,
    private readonly onYield: () => void,
  ) {}

  getSize(): number {
    return this.size;
  }

  isOpen(): boolean {
    return this.userCount > 0;
  }

  addUser(): void {
    this.userCount += 1;
  }

  /** Whether what it is for may be ended for the benefit of others. */
  mayYield(): boolean {
    const isYielding = this.kind === 'upload' || this.kind === 'answer';
    // One that has not started would give up little, and is not slow.
    const hasStarted = !this.isWaiting || this.size > SMALL_BYTES;
    return isYielding && hasStarted && !this.isFinal && this.size > 0;
  }

  /** Keeps it until it is released, since the request may run from now on. */
  keep(): void {
    this.isFinal = true;
  }

  /** Records bytes that have arrived or have been written. */
  recordProgress(bytes: number): void {
    this.progressBytes += bytes;
    if (this.progressBytes < PROGRESS_BYTES) return;
    this.progressBytes = 0;
    this.progressAtMs = performance.now();
  }

  /** Reserves further bytes at once; `false` if they don't fit. */
  tryGrow(bytes: number): boolean {
    if (!this.isOpen() || !this.memory.tryReserve(this, bytes)) return false;
    this.size += bytes;
    return true;
  }

  /** Waits until further bytes fit; `false` after the time or a release. */
  async whenGrown(bytes: number, timeoutMs: number): Promise<boolean> {
    if (!this.isOpen()) return false;
    this.isWaiting = true;
    const isGranted = await this.memory.whenReserved(this, bytes, timeoutMs);
    this.isWaiting = false;
    if (isGranted) this.progressAtMs = performance.now();
    return isGranted;
  }

  /** Called when bytes that were waited for have been reserved. */
  handleGrant(bytes: number): void {
    this.size += bytes;
  }

  /** Gives the bytes back once the last user has released them. */
  release(): void {
    if (this.userCount === 0) return;
    this.userCount -= 1;
    if (this.userCount > 0) return;
    this.memory.handleRelease(this, this.size);
  }

  yield(): void {
    this.userCount = Math.min(this.userCount, 1);
    this.release();
    this.onYield();
  }
}

/** The memory held in this process. */
export const PROCESS_MEMORY = new HeldMemory(toHeldBytes(DEFAULT_MEMORY_MB));
