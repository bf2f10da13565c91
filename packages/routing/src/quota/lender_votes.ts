/**
 * Decides which instances of a data centre a lender lends for. An instance that
 * doesn't reach the lender of the first rank lends its part of the rate to another
 * one by its vote, so that no part is lent by two lenders at the same time.
 */

/** Validity of a vote, from when it was asked for. */
export const VOTE_VALID_MS = 1_000;
/** Age of a vote from which on it is asked for again. */
export const VOTE_RENEWAL_MS = 400;
/**
 * Time since the link to an instance opened, after which the lender of the first
 * rank lends for it: its last vote for another one has expired by then.
 */
export const LINK_SETTLE_MS = 1_200;

interface GivenVote<I> {
  readonly candidate: I;
  untilMs: number;
}

/** Votes that this instance has given, by workspace. */
export class GivenVotes<W, I> {
  private readonly votes = new Map<W, GivenVote<I>>();

  /** Votes for a candidate, unless another one still has the vote. */
  vote(workspace: W, candidate: I, nowMs: number): boolean {
    const given = this.votes.get(workspace);
    if (given && given.untilMs > nowMs && given.candidate !== candidate) {
      return false;
    }
    const untilMs = nowMs + VOTE_VALID_MS;
    this.votes.set(workspace, {candidate, untilMs});
    return true;
  }

  /** Whether another instance than the given one has the vote. */
  isGivenToOther(workspace: W, candidate: I, nowMs: number): boolean {
    const given = this.votes.get(workspace);
    if (!given || given.untilMs <= nowMs) return false;
    return given.candidate !== candidate;
  }

  prune(nowMs: number): void {
    for (const [workspace, {untilMs}] of this.votes) {
      if (untilMs <= nowMs) this.votes.delete(workspace);
    }
  }
}

/** Votes that a lender has received for one workspace. */
export class ReceivedVotes<I> {
  private readonly askedAtMs = new Map<I, number>();
  private readonly untilMs = new Map<I, number>();

  /** Whether an instance should be asked for its vote now. */
  isDue(voter: I, nowMs: number): boolean {
    const askedAtMs = this.askedAtMs.get(voter) ?? -Infinity;
    return nowMs - askedAtMs >= VOTE_RENEWAL_MS;
  }

  recordAsked(voter: I, nowMs: number): void {
    this.askedAtMs.set(voter, nowMs);
  }

  /** Records a vote; it counts from when it was asked for. */
  record(voter: I, askedAtMs: number): void {
    const untilMs = askedAtMs + VOTE_VALID_MS;
    this.untilMs.set(voter, Math.max(untilMs, this.untilMs.get(voter) ?? 0));
  }

  count(nowMs: number): number {
    let count = 0;
    for (const [voter, untilMs] of this.untilMs) {
      if (untilMs > nowMs) count += 1;
      else this.untilMs.delete(voter);
    }
    return count;
  }
}
