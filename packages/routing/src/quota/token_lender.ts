/**
 * Token bucket of one workspace at its lender. The tokens held and the permits
 * lent never exceed the capacity together. So whatever their validity, the permits
 * used in a window are at most the rate times the window plus the capacity.
 */

import type {LenderLimits} from './quota_rates.js';

/** Validities of permits. */
export interface PermitValidity {
  readonly shortMs: number;
  /** For a workspace that uses little of its limit. */
  readonly longMs: number;
}

/** A request for permits. */
export interface LoanRequest<B> {
  readonly borrower: B;
  readonly count: number;
  /** Unused permits of earlier loans to this borrower. */
  readonly returnedCount: number;
}

/** Reply to a request for permits. */
export interface LoanGrant {
  readonly count: number;
  /** Counted from when the borrower sent its request. */
  readonly validMs: number;
  /** Time until a further permit is likely; 0 if all were granted. */
  readonly retryAfterMs: number;
}

interface Loan<B> {
  /** Undefined for permits that another lender may have lent. */
  readonly borrower: B | undefined;
  readonly expiresAtMs: number;
  count: number;
}

const MS_PER_SECOND = 1_000;
/** Share of the capacity up to which permits are lent for the longer time. */
const LONG_LOAN_SHARE = 0.3;
/** Share of the capacity that must be held for permits to be lent longer. */
const LONG_CONTENT_SHARE = 0.4;
/**
 * Shortest time for which a borrower that got less than it asked for is sent away;
 * it bounds the messages of a workspace over its limit.
 */
const MIN_RETRY_AFTER_MS = 200;
/** The same for a borrower that got all that it asked for in the last second. */
const MIN_FIRST_RETRY_AFTER_MS = 20;
/** Others may not come back, so that there is room earlier than estimated. */
const MAX_RETRY_AFTER_MS = 1_000;
/** The same for a lender that lends for no instance yet. */
const UNREADY_RETRY_AFTER_MS = 200;
/** Time for which a borrower that got less than it asked for is expected back. */
const UNMET_TTL_MS = 1_000;

/** Lends permits of one workspace. */
export class TokenLender<B> {
  private tokens = 0;
  /** When borrowers last got less than they asked for. */
  private readonly unmetAtMs = new Map<B, number>();
  private readonly loans: Array<Loan<B>> = [];

  /** Starts empty: another lender may have lent the whole burst until now. */
  constructor(
    private limits: LenderLimits,
    private readonly validity: PermitValidity,
    private updatedAtMs: number,
  ) {
    this.addLoan(undefined, limits.burst, updatedAtMs + validity.longMs);
  }

  /** Applies new limits; a lower capacity cuts the tokens down immediately. */
  setLimits(limits: LenderLimits, nowMs: number): void {
    // The time of the change may lie anywhere since the last update.
    const ratePerSecond = Math.min(
      this.limits.ratePerSecond,
      limits.ratePerSecond,
    );
    this.limits = {...this.limits, ratePerSecond};
    this.update(nowMs);
    // Another lender may have lent the added part until now.
    const added = limits.burst - this.limits.burst;
    this.limits = limits;
    if (added > 0) {
      this.addLoan(undefined, added, nowMs + this.validity.longMs);
    }
    this.cutTokens();
  }

  /** Takes back unused permits and lends new ones. */
  lend(request: LoanRequest<B>, nowMs: number): LoanGrant {
    this.update(nowMs);
    this.takeBack(request.borrower, request.returnedCount);
    const granted = Math.min(request.count, Math.floor(this.tokens));
    const validMs = this.chooseValidMs(granted);
    if (granted > 0) {
      this.tokens -= granted;
      this.addLoan(request.borrower, granted, nowMs + validMs);
    }
    if (granted === request.count) {
      return {count: granted, validMs, retryAfterMs: 0};
    }
    const retryAfterMs = this.estimateRetryAfterMs(request.borrower, nowMs);
    this.unmetAtMs.set(request.borrower, nowMs);
    return {count: granted, validMs, retryAfterMs};
  }

  /** Returns the tokens held, for gauges. */
  getTokenCount(nowMs: number): number {
    this.update(nowMs);
    return this.tokens;
  }

  /** Returns the permits that are lent or may have been lent by another lender. */
  getLoanCount(nowMs: number): number {
    this.update(nowMs);
    return this.countLoans();
  }

  // Expires loans one by one, as each makes room for further tokens.
  private update(nowMs: number): void {
    for (;;) {
      const [first] = this.loans;
      if (!first || first.expiresAtMs > nowMs) break;
      this.accrue(first.expiresAtMs);
      this.loans.shift();
    }
    this.accrue(nowMs);
  }

  private accrue(untilMs: number): void {
    const elapsedMs = untilMs - this.updatedAtMs;
    if (elapsedMs <= 0) return;
    this.updatedAtMs = untilMs;
    this.tokens += (elapsedMs * this.limits.ratePerSecond) / MS_PER_SECOND;
    this.cutTokens();
  }

  private cutTokens(): void {
    const room = Math.max(0, this.limits.capacity - this.countLoans());
    this.tokens = Math.min(this.tokens, room);
  }

  private countLoans(): number {
    let count = 0;
    for (const loan of this.loans) count += loan.count;
    return count;
  }

  // Only what was lent to this borrower and hasn't expired can come back: a return
  // that was under way for long would add permits of an earlier window.
  private takeBack(borrower: B, returnedCount: number): void {
    let left = returnedCount;
    for (const loan of this.loans) {
      if (left <= 0) break;
      if (loan.borrower !== borrower) continue;
      const count = Math.min(left, loan.count);
      loan.count -= count;
      left -= count;
      this.tokens += count;
    }
    this.cutTokens();
  }

  // Borrowers keep permits of a workspace that uses little of its limit for longer,
  // which saves messages and waiting.
  private chooseValidMs(count: number): number {
    const {capacity} = this.limits;
    const isPlentiful =
      this.tokens - count >= LONG_CONTENT_SHARE * capacity &&
      this.countLoans() + count <= LONG_LOAN_SHARE * capacity;
    const {longMs, shortMs} = this.validity;
    return isPlentiful ? longMs : shortMs;
  }

  private addLoan(
    borrower: B | undefined,
    count: number,
    expiresAtMs: number,
  ): void {
    const index = this.loans.findIndex(loan => loan.expiresAtMs > expiresAtMs);
    const loan = {borrower, count, expiresAtMs};
    if (index < 0) this.loans.push(loan);
    else this.loans.splice(index, 0, loan);
  }

  // All borrowers that lately got less than they asked for are likely to come back,
  // and each of them should then find a permit.
  private estimateRetryAfterMs(borrower: B, nowMs: number): number {
    for (const [borrower, atMs] of this.unmetAtMs) {
      if (nowMs - atMs > UNMET_TTL_MS) this.unmetAtMs.delete(borrower);
    }
    if (this.limits.ratePerSecond === 0) return UNREADY_RETRY_AFTER_MS;
    const isRepeated = this.unmetAtMs.has(borrower);
    const minMs = isRepeated ? MIN_RETRY_AFTER_MS : MIN_FIRST_RETRY_AFTER_MS;
    const expectedCount = this.unmetAtMs.size + Number(!isRepeated);
    const missing = expectedCount - this.tokens;
    const waitMs = (missing * MS_PER_SECOND) / this.limits.ratePerSecond;
    return Math.min(MAX_RETRY_AFTER_MS, Math.max(minMs, waitMs));
  }
}
