/** Deadline and cancellation of a request. */

import {Cancellation} from './cancellation.js';

/** Why a request was aborted. */
export type AbortReason = 'deadline' | 'cancelled';

/** Aborts its cancellation on expiry or when the caller disconnects. */
export class Deadline {
  /** Aborted when the request must stop. */
  readonly cancellation = new Cancellation();
  private readonly timer: NodeJS.Timeout;
  private readonly expiresAtMs: number;
  private reason: AbortReason | undefined;

  constructor(timeoutMs: number) {
    this.expiresAtMs = performance.now() + timeoutMs;
    this.timer = setTimeout(() => this.abort('deadline'), timeoutMs);
  }

  /** Returns why the request was aborted, or undefined if it was not. */
  getAbortReason(): AbortReason | undefined {
    return this.reason;
  }

  /** Returns the remaining time, or 0 once expired or cancelled. */
  getRemainingMs(): number {
    if (this.reason !== undefined) return 0;
    return Math.max(0, this.expiresAtMs - performance.now());
  }

  /** Aborts because the caller has disconnected. */
  cancel(): void {
    this.abort('cancelled');
  }

  /** Creates an AbortSignal for APIs that need one. */
  toAbortSignal(): AbortSignal {
    const controller = new AbortController();
    if (this.cancellation.aborted) controller.abort();
    else this.cancellation.once('abort', () => controller.abort());
    return controller.signal;
  }

  /** Clears the timer once the request has ended. */
  dispose(): void {
    clearTimeout(this.timer);
  }

  private abort(reason: AbortReason): void {
    if (this.reason !== undefined) return;
    this.reason = reason;
    clearTimeout(this.timer);
    this.cancellation.abort();
  }
}
