/**
 * Bounds the requests that an entry sends to a service in another data centre. The
 * window grows with each answer and shrinks with each refusal for load, after which
 * no request is sent for a while. After a silence, such as a partition or a calm
 * time, the figures are stale and the window starts small again, so that the
 * entries of a data centre don't all arrive in another one at once.
 */

import {
  INITIAL_SPILL_WINDOW,
  MAX_SPILL_WINDOW,
  MAX_SPILL_HOLD_MS,
  MIN_SPILL_HOLD_MS,
  SPILL_SILENCE_MS,
} from './constants.js';

/** Requests of one entry to one service in one other data centre. */
export class SpillWindow {
  private window = INITIAL_SPILL_WINDOW;
  private inFlight = 0;
  private heldUntilMs = -Infinity;
  private holdMs = MIN_SPILL_HOLD_MS;
  private lastReplyAtMs = -Infinity;

  /** Whether another request may be sent now. */
  mayOffer(nowMs: number): boolean {
    if (nowMs < this.heldUntilMs) return false;
    const isSilent = nowMs - this.lastReplyAtMs > SPILL_SILENCE_MS;
    const window = isSilent
      ? Math.min(this.window, INITIAL_SPILL_WINDOW)
      : this.window;
    return this.inFlight < Math.floor(window);
  }

  recordOffer(): void {
    this.inFlight += 1;
  }

  recordAnswer(nowMs: number): void {
    this.recordReply(nowMs);
    this.window = Math.min(MAX_SPILL_WINDOW, this.window + 1);
    this.holdMs = MIN_SPILL_HOLD_MS;
  }

  /**
   * Records a refusal for load, with the wait that the gate has reported. Returns
   * the time without further requests.
   */
  recordRefusal(waitMs: number, nowMs: number): number {
    this.recordReply(nowMs);
    this.window = Math.max(1, this.window / 2);
    const holdMs = Math.min(MAX_SPILL_HOLD_MS, Math.max(this.holdMs, waitMs));
    this.heldUntilMs = Math.max(this.heldUntilMs, nowMs + holdMs);
    this.holdMs = Math.min(MAX_SPILL_HOLD_MS, 2 * this.holdMs);
    return holdMs;
  }

  /** Records that no reply came, or one that says nothing of the load. */
  recordOther(): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
  }

  private recordReply(nowMs: number): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
    const wasSilent = nowMs - this.lastReplyAtMs > SPILL_SILENCE_MS;
    if (wasSilent) this.window = Math.min(this.window, INITIAL_SPILL_WINDOW);
    this.lastReplyAtMs = nowMs;
  }
}
