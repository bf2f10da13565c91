/** Recognizes requests that a caller repeats after a refusal, by their id. */

import type {RefusalReason} from './outcome.js';

/** Refusals of one request. */
export interface PastRefusals {
  readonly count: number;
  readonly lastReason: RefusalReason;
}

interface Entry extends PastRefusals {
  readonly atMs: number;
}

/** Number of refused requests that are remembered, the latest ones. */
const MAX_REFUSED_REQUESTS = 2_048;
/** Time after which a caller is not expected to come back any more. */
const REFUSAL_TTL_MS = 30_000;
/** Length up to which ids are remembered, so that the memory is bounded. */
const MAX_ID_LENGTH = 128;

/** Remembers the refusals of recent requests. */
export class RepeatedRequests {
  /** Refused requests, the oldest refusal first. */
  private readonly refused = new Map<string, Entry>();

  constructor(private readonly maxRequests = MAX_REFUSED_REQUESTS) {}

  /** Returns the earlier refusals of a request; undefined if there are none. */
  find(requestId: string, nowMs: number): PastRefusals | undefined {
    const entry = this.refused.get(requestId);
    if (!entry || nowMs - entry.atMs > REFUSAL_TTL_MS) return undefined;
    return entry;
  }

  /** Records a refusal. */
  recordRefusal(requestId: string, reason: RefusalReason, nowMs: number): void {
    if (requestId === '' || requestId.length > MAX_ID_LENGTH) return;
    const count = (this.find(requestId, nowMs)?.count ?? 0) + 1;
    this.refused.delete(requestId);
    this.refused.set(requestId, {count, lastReason: reason, atMs: nowMs});
    for (const [oldestId, {atMs}] of this.refused) {
      const isExpired = nowMs - atMs > REFUSAL_TTL_MS;
      if (!isExpired && this.refused.size <= this.maxRequests) return;
      this.refused.delete(oldestId);
    }
  }

  /** Forgets a request that was not refused any more. */
  forget(requestId: string): void {
    this.refused.delete(requestId);
  }
}
