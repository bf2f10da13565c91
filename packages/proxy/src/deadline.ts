/** The time limit of a request and its cancellation. */

import {Cancellation} from './cancellation.js';

/** Why a request was aborted. */
export type AbortReason = 'deadline' | 'cancelled';

/** Aborts its signal when the time is over or the caller has gone. */
export class Deadline {
  /** Aborted when the request must not go on. */
  readonly cancellation = new Cancellation();
  private readonly timer: NodeJS.Timeout;
  private readonly endsAtMs: number;
  private reason: AbortReason | undefined;

  constructor(timeoutMs: number) {
    this.endsAtMs = performance.now() + timeoutMs;
    this.timer = setTimeout(() => this.abort('deadline'), timeoutMs);
  }

  /** Why the signal was aborted. */
  getAbortReason(): AbortReason | undefined {
    return this.reason;
  }

  /** Time left; 0 when there is none. */
  getRemainingMs(): number {
    if (this.reason !== undefined) return 0;
    return Math.max(0, this.endsAtMs - performance.now());
  }

  /** Aborts because the caller has gone. */
  cancel(): void {
    this.abort('cancelled');
  }

  /** Makes an AbortSignal for callees that take no {@link Cancellation}. */
  toAbortSignal(): AbortSignal {
    const controller = new AbortController();
    if (this.cancellation.aborted) controller.abort();
    else this.cancellation.once('abort', () => controller.abort());
    return controller.signal;
  }

  /** Releases the timer when the request is over. */
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
