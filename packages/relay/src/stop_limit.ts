/** Limits the runs that a stopping process starts. */

import {TARGET_RESPONSE_GRACE_MS} from './constants.js';

/** Time by which runs must have ended, once the process stops. */
export class StopLimit {
  private serveUntilMs = Infinity;

  set(serveUntilMs: number): void {
    this.serveUntilMs = serveUntilMs;
  }

  /**
   * Whether a request that can't be repeated may still run at that time. Its entry can
   * offer it to another gate instead.
   */
  mayBeExceededBy(isIdempotent: boolean, deadlineAtMs: number): boolean {
    if (isIdempotent) return false;
    return deadlineAtMs + TARGET_RESPONSE_GRACE_MS > this.serveUntilMs;
  }
}
