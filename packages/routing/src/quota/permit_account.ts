/**
 * Permits of one workspace at an entry: those on hand, the demand that decides how
 * many are asked for, and what is known of each lender.
 */

import {DecayingRate} from './decaying_rate.js';
import {PermitPool} from './permit_pool.js';
import type {LoanGrant} from './token_lender.js';

/** A request for permits to one lender. */
export interface PermitAsk<L> {
  readonly number: number;
  readonly lender: L;
  readonly count: number;
  readonly returnedCount: number;
  readonly sentAtMs: number;
}

interface LenderState {
  /** Time until which the lender is expected to have no permits. */
  emptyUntilMs: number;
  /** Time until which the lender is left alone as it hasn't answered. */
  silentUntilMs: number;
  /** Time until which nothing is asked for beyond what requests wait for. */
  scarceUntilMs: number;
  /** Validity of the last permits. */
  validMs: number;
}

/** Time constant of the measured demand. */
const DEMAND_DECAY_MS = 1_000;
/** Expected need from which on permits are asked for ahead of requests. */
const MIN_PREFETCH = 0.5;
/** Share of the expected need on hand from which on no more is asked for. */
const REFILL_SHARE = 0.4;
/** Share of the validity before whose end permits are renewed. */
const RENEWAL_SHARE = 0.35;
/** Time for which permits are kept while others are returned and asked for. */
const ROUND_TRIP_MS = 40;
/** Time for which nothing is prefetched from a lender that ran short. */
const SCARCITY_MS = 1_000;
/** Time for which a lender that hasn't answered is left alone. */
const SILENCE_MS = 500;
/** Longest validity that a grant can have; later grants are of no use. */
const MAX_VALID_MS = 10_000;
const MAX_ASK_COUNT = 100_000;

/** Account of one workspace. */
export class PermitAccount<L> {
  private readonly pool = new PermitPool<L>();
  private readonly demand = new DecayingRate(DEMAND_DECAY_MS);
  private readonly admitted = new DecayingRate(DEMAND_DECAY_MS);
  private readonly lenders = new Map<L, LenderState>();
  /** Lenders asked for the requests that wait now. */
  private readonly tried = new Set<L>();
  /** Unanswered requests, including those that are no longer waited for. */
  private readonly asks = new Map<number, PermitAsk<L>>();
  /** Number of the request whose grant is waited for. */
  private awaitedNumber: number | undefined;

  constructor(private readonly shortValidMs: number) {}

  /** Counts a request of the workspace. */
  recordArrival(nowMs: number): void {
    this.demand.record(nowMs);
  }

  /** Uses a permit and returns when it expires; undefined if there is none. */
  take(nowMs: number): number | undefined {
    const expiresAtMs = this.pool.take(nowMs);
    if (expiresAtMs !== undefined) this.admitted.record(nowMs);
    return expiresAtMs;
  }

  /** Puts back the permit of a request that was certainly not run. */
  release(expiresAtMs: number, nowMs: number): void {
    this.pool.putBack(expiresAtMs, nowMs);
  }

  /** Returns the requests admitted per second lately. */
  getAdmittedPerSecond(nowMs: number): number {
    return 1_000 * this.admitted.getPerMs(nowMs);
  }

  getPermitCount(nowMs: number): number {
    return this.pool.count(nowMs);
  }

  isAwaitingGrant(): boolean {
    return this.awaitedNumber !== undefined;
  }

  /** Whether a request has no grant yet that could still be of use. */
  hasAsk(number: number): boolean {
    return this.asks.has(number);
  }

  /** Whether the account holds nothing worth keeping. */
  isIdle(nowMs: number): boolean {
    return (
      !this.isAwaitingGrant() &&
      this.pool.count(nowMs) === 0 &&
      this.demand.getPerMs(nowMs) * MAX_VALID_MS < MIN_PREFETCH
    );
  }

  /**
   * Chooses the lender to ask for requests that wait, in the given order; undefined
   * if one is being asked or none is expected to have permits.
   */
  planAsk(
    lenders: readonly L[],
    waitingCount: number,
    newNumber: () => number,
    nowMs: number,
  ): PermitAsk<L> | undefined {
    if (this.isAwaitingGrant()) return undefined;
    for (const lender of lenders) {
      if (this.tried.has(lender) || !this.isUsable(lender, nowMs)) continue;
      this.tried.add(lender);
      const count = waitingCount + this.getTarget(lender, nowMs);
      return this.newAsk(lender, count, 0, newNumber(), nowMs);
    }
    return undefined;
  }

  /** Asks ahead of requests, if few of the permits needed soon are on hand. */
  planPrefetch(
    lenders: readonly L[],
    newNumber: () => number,
    nowMs: number,
  ): PermitAsk<L> | undefined {
    if (this.isAwaitingGrant()) return undefined;
    const lender = lenders.find(item => this.isUsable(item, nowMs));
    if (lender === undefined) return undefined;
    const target = this.getTarget(lender, nowMs);
    if (target === 0) return undefined;
    const {validMs} = this.getState(lender);
    const renewBeforeMs = nowMs + RENEWAL_SHARE * validMs;
    const lastingCount = this.pool.count(renewBeforeMs);
    if (lastingCount > REFILL_SHARE * target) return undefined;
    const keptCount = Math.ceil(this.demand.getPerMs(nowMs) * ROUND_TRIP_MS);
    const returnedCount = this.pool.removeExpiring(
      lender,
      renewBeforeMs,
      keptCount,
      nowMs,
    );
    const count = target - lastingCount;
    return this.newAsk(lender, count, returnedCount, newNumber(), nowMs);
  }

  /** Adds granted permits; a grant that was given before is ignored. */
  handleGrant(number: number, grant: LoanGrant, nowMs: number): void {
    const ask = this.asks.get(number);
    if (!ask) return;
    this.asks.delete(number);
    if (this.awaitedNumber === number) this.awaitedNumber = undefined;
    const {lender, sentAtMs} = ask;
    const state = this.getState(lender);
    state.silentUntilMs = 0;
    // Counted from the request, so that no clocks are compared.
    this.pool.add(lender, grant.count, sentAtMs + grant.validMs, nowMs);
    if (grant.count > 0) state.validMs = grant.validMs;
    if (grant.count >= ask.count) return;
    state.emptyUntilMs = nowMs + grant.retryAfterMs;
    state.scarceUntilMs = nowMs + Math.max(SCARCITY_MS, grant.retryAfterMs);
  }

  /** Stops waiting for a grant; one that arrives later still counts. */
  handleSilence(number: number, nowMs: number): void {
    const ask = this.asks.get(number);
    if (!ask || this.awaitedNumber !== number) return;
    this.awaitedNumber = undefined;
    this.getState(ask.lender).silentUntilMs = nowMs + SILENCE_MS;
  }

  /** Forgets which lenders were asked, once no request waits. */
  endRound(): void {
    this.tried.clear();
  }

  /** Returns when the first of the lenders is expected to have permits. */
  getRoomAtMs(lenders: readonly L[], nowMs: number): number {
    let earliestMs = Infinity;
    for (const lender of lenders) {
      const {emptyUntilMs, silentUntilMs} = this.getState(lender);
      earliestMs = Math.min(earliestMs, Math.max(emptyUntilMs, silentUntilMs));
    }
    return Number.isFinite(earliestMs) ? Math.max(nowMs, earliestMs) : nowMs;
  }

  /** Forgets lenders and requests that can no longer matter. */
  prune(nowMs: number): void {
    for (const [number, ask] of this.asks) {
      if (nowMs - ask.sentAtMs > MAX_VALID_MS) this.asks.delete(number);
    }
    for (const [lender, state] of this.lenders) {
      const {emptyUntilMs, silentUntilMs, scarceUntilMs} = state;
      const untilMs = Math.max(emptyUntilMs, silentUntilMs, scarceUntilMs);
      if (nowMs - untilMs > MAX_VALID_MS) this.lenders.delete(lender);
    }
  }

  private isUsable(lender: L, nowMs: number): boolean {
    const {emptyUntilMs, silentUntilMs} = this.getState(lender);
    return emptyUntilMs <= nowMs && silentUntilMs <= nowMs;
  }

  // What is needed until permits of this lender would expire. A lender that ran short
  // keeps what it has for requests that wait, wherever they are.
  private getTarget(lender: L, nowMs: number): number {
    const {scarceUntilMs, validMs} = this.getState(lender);
    if (nowMs < scarceUntilMs) return 0;
    const expected = this.demand.getPerMs(nowMs) * validMs;
    return expected < MIN_PREFETCH ? 0 : Math.max(1, Math.round(expected));
  }

  private newAsk(
    lender: L,
    count: number,
    returnedCount: number,
    number: number,
    nowMs: number,
  ): PermitAsk<L> {
    const ask = {
      number,
      lender,
      count: Math.min(MAX_ASK_COUNT, count),
      returnedCount,
      sentAtMs: nowMs,
    };
    this.asks.set(number, ask);
    this.awaitedNumber = number;
    return ask;
  }

  private getState(lender: L): LenderState {
    let state = this.lenders.get(lender);
    if (!state) {
      state = {
        emptyUntilMs: 0,
        silentUntilMs: 0,
        scarceUntilMs: 0,
        validMs: this.shortValidMs,
      };
      this.lenders.set(lender, state);
    }
    return state;
  }
}
