/** Lends permits of the workspaces for which this instance is the lender. */

import type {PublishedConfiguration} from '@cassiaknot/coordination';
import type {
  InstanceId,
  WorkspaceId,
  WorkspaceRecord,
} from '@cassiaknot/inventory';
import {getRecordsOfKind} from '@cassiaknot/inventory';
import type {RelayFrameOf} from '@cassiaknot/peer-protocol';
import type {LenderLimits, QuotaBounds} from '@cassiaknot/routing';
import {
  GivenVotes,
  LINK_SETTLE_MS,
  ReceivedVotes,
  START_RAMP_MS,
  TokenLender,
  VOTE_VALID_MS,
  getLenderLimits,
  getLongValidMs,
  getValidMs,
} from '@cassiaknot/routing';
import type {RelayObserver} from './observer.js';
import type {QuotaPeers} from './quota_peers.js';

/** Dependencies of a {@link PermitLender}. */
export interface PermitLenderOptions {
  readonly self: InstanceId;
  readonly bounds: QuotaBounds;
  readonly peers: QuotaPeers;
  readonly getConfiguration: () => PublishedConfiguration;
  readonly newRequestNumber: () => number;
  readonly observer: RelayObserver;
}

/** Sender of a request, as long as it keeps its link. */
export type Borrower = object;

interface LentWorkspace {
  readonly lender: TokenLender<Borrower>;
  readonly votes: ReceivedVotes<InstanceId>;
  limits: LenderLimits;
  askedAtMs: number;
  /** When a request last got less than it asked for. */
  emptyAtMs: number;
}

interface AskedVote {
  readonly workspaceId: WorkspaceId;
  readonly voter: InstanceId;
  readonly askedAtMs: number;
}

const COMPONENT = 'quota';
/** Time after the last request for which votes are renewed. */
const VOTED_LENDER_TTL_MS = 3_000;
/** Time until a lender that doesn't know the workspace is asked again. */
const UNKNOWN_RETRY_AFTER_MS = 200;
/** Time with permits for all requests after which a shortage is logged again. */
const SHORTAGE_LOG_MS = 2_000;

/** Lender side of the quotas. */
export class PermitLender {
  private readonly lent = new Map<WorkspaceId, LentWorkspace>();
  private readonly givenVotes = new GivenVotes<WorkspaceId, InstanceId>();
  private readonly askedVotes = new Map<number, AskedVote>();
  private readonly startedAtMs = performance.now();
  private dataCentreCount = 1;
  private countedState: unknown;

  constructor(private readonly options: PermitLenderOptions) {}

  /** Replies to a request for permits or for a vote. */
  handleRequest(
    borrower: Borrower,
    request: RelayFrameOf<'permit-request'>,
  ): RelayFrameOf<'permit-grant'> {
    const {requestNumber, workspaceId, candidateId} = request;
    const nowMs = performance.now();
    const grant =
      candidateId === undefined
        ? this.lend(borrower, request, nowMs)
        : this.vote(workspaceId, candidateId, nowMs);
    return {kind: 'permit-grant', requestNumber, ...grant};
  }

  /** Records the reply to a request for a vote; `false` if there was none. */
  handleVote(grant: RelayFrameOf<'permit-grant'>): boolean {
    const asked = this.askedVotes.get(grant.requestNumber);
    if (!asked) return false;
    this.askedVotes.delete(grant.requestNumber);
    const entry = this.lent.get(asked.workspaceId);
    if (!entry || grant.count === 0) return true;
    entry.votes.record(asked.voter, asked.askedAtMs);
    this.applyLimits(asked.workspaceId, entry, performance.now());
    return true;
  }

  /** Applies changes of links and limits, and renews votes. */
  sweep(): void {
    const nowMs = performance.now();
    for (const [workspaceId, entry] of this.lent) {
      this.applyLimits(workspaceId, entry, nowMs);
      if (nowMs - entry.askedAtMs > VOTED_LENDER_TTL_MS) continue;
      this.askForVotes(workspaceId, entry, nowMs);
    }
    this.givenVotes.prune(nowMs);
    for (const [number, {askedAtMs}] of this.askedVotes) {
      if (nowMs - askedAtMs > VOTE_VALID_MS) this.askedVotes.delete(number);
    }
  }

  /** Returns the workspaces of which this instance lends permits. */
  getLentCount(): number {
    return this.lent.size;
  }

  private lend(
    borrower: Borrower,
    request: RelayFrameOf<'permit-request'>,
    nowMs: number,
  ): {count: number; validMs: number; retryAfterMs: number} {
    const {workspaceId, count, returnedCount} = request;
    const {workspaces} = this.options.getConfiguration().workspaces;
    const record = workspaces.get(workspaceId);
    const shortMs = getValidMs(this.options.bounds);
    if (!record) {
      // This instance may be behind the sender.
      this.options.observer.count('permits', 'unknown-workspace');
      const retryAfterMs = UNKNOWN_RETRY_AFTER_MS;
      return {count: 0, validMs: shortMs, retryAfterMs};
    }
    if (record.ratePerSecond === undefined) {
      return {count, validMs: shortMs, retryAfterMs: 0};
    }
    const entry = this.getEntry(record, nowMs);
    entry.askedAtMs = nowMs;
    this.applyLimits(workspaceId, entry, nowMs);
    this.askForVotes(workspaceId, entry, nowMs);
    const grant = entry.lender.lend({borrower, count, returnedCount}, nowMs);
    if (grant.count < count) this.logShortage(workspaceId, entry, nowMs);
    this.options.observer.count('permits', describeGrant(grant.count, count));
    return grant;
  }

  private vote(
    workspaceId: WorkspaceId,
    candidate: InstanceId,
    nowMs: number,
  ): {count: number; validMs: number; retryAfterMs: number} {
    const isGiven = this.mayVote(workspaceId, candidate, nowMs);
    this.options.observer.count('permits', isGiven ? 'vote' : 'vote-denied');
    const count = isGiven ? 1 : 0;
    return {count, validMs: VOTE_VALID_MS, retryAfterMs: 0};
  }

  private mayVote(
    workspaceId: WorkspaceId,
    candidate: InstanceId,
    nowMs: number,
  ): boolean {
    const {peers} = this.options;
    return (
      peers.isBestReached(workspaceId, candidate) &&
      this.givenVotes.vote(workspaceId, candidate, nowMs)
    );
  }

  // A workspace without requests accrues tokens as well, from when nothing has
  // changed any more that decides who lends for it.
  private getEntry(record: WorkspaceRecord, nowMs: number): LentWorkspace {
    const existing = this.lent.get(record.id);
    if (existing) return existing;
    const {peers, bounds, observer} = this.options;
    const votes = new ReceivedVotes<InstanceId>();
    const settledAtMs = Math.max(
      this.startedAtMs + START_RAMP_MS,
      peers.getChangedAtMs() + LINK_SETTLE_MS,
    );
    const isFirst = peers.isOwnFirst(record.id);
    const sinceMs = isFirst ? Math.min(nowMs, settledAtMs) : nowMs;
    const limits = this.getLimits(record, votes, nowMs);
    const validity = {
      shortMs: getValidMs(bounds),
      longMs: getLongValidMs(bounds),
    };
    const lender = new TokenLender<Borrower>(limits, validity, sinceMs);
    const entry = {lender, votes, limits, askedAtMs: nowMs, emptyAtMs: 0};
    this.lent.set(record.id, entry);
    observer.log('info', COMPONENT, 'lends', {
      workspaceId: record.id,
      isFirst,
      sinceMs: Math.round(nowMs - sinceMs),
      ...describeLimits(limits),
    });
    return entry;
  }

  private applyLimits(
    workspaceId: WorkspaceId,
    entry: LentWorkspace,
    nowMs: number,
  ): void {
    const {workspaces} = this.options.getConfiguration().workspaces;
    const record = workspaces.get(workspaceId);
    if (record?.ratePerSecond === undefined) {
      this.lent.delete(workspaceId);
      return;
    }
    const limits = this.getLimits(record, entry.votes, nowMs);
    const {ratePerSecond, burst} = entry.limits;
    if (limits.ratePerSecond === ratePerSecond && limits.burst === burst) {
      return;
    }
    entry.limits = limits;
    entry.lender.setLimits(limits, nowMs);
  }

  private getLimits(
    record: WorkspaceRecord,
    votes: ReceivedVotes<InstanceId>,
    nowMs: number,
  ): LenderLimits {
    const {peers, self, bounds} = this.options;
    const {id, ratePerSecond = 0, burst = 0} = record;
    // This instance uses its own part itself unless it has voted for another one.
    const isOwnFirst = peers.isOwnFirst(id);
    const isOwnPart =
      (isOwnFirst || peers.isBestReached(id, self)) &&
      !this.givenVotes.isGivenToOther(id, self, nowMs);
    const others = isOwnFirst ? peers.countSettled(nowMs) : votes.count(nowMs);
    const part = {
      dataCentreCount: this.getDataCentreCount(),
      knownCount: peers.countLocal(),
      reachedCount: others + Number(isOwnPart),
      upMs: nowMs - this.startedAtMs,
    };
    return getLenderLimits({ratePerSecond, burst}, part, getValidMs(bounds));
  }

  private askForVotes(
    workspaceId: WorkspaceId,
    {votes}: LentWorkspace,
    nowMs: number,
  ): void {
    const {peers, self, newRequestNumber} = this.options;
    if (peers.isOwnFirst(workspaceId)) return;
    if (peers.isBestReached(workspaceId, self)) {
      // Its own part must not be voted away while it is in use.
      this.givenVotes.vote(workspaceId, self, nowMs);
    }
    for (const {instanceId, link} of peers.listLocalOpen()) {
      if (instanceId === self || !votes.isDue(instanceId, nowMs)) continue;
      votes.recordAsked(instanceId, nowMs);
      const requestNumber = newRequestNumber();
      const isSent = link.requestPermits({
        kind: 'permit-request',
        requestNumber,
        workspaceId,
        count: 0,
        returnedCount: 0,
        candidateId: self,
      });
      if (!isSent) continue;
      const asked = {workspaceId, voter: instanceId, askedAtMs: nowMs};
      this.askedVotes.set(requestNumber, asked);
    }
  }

  private getDataCentreCount(): number {
    const {state} = this.options.getConfiguration();
    if (state !== this.countedState) {
      this.countedState = state;
      const count = [...getRecordsOfKind(state, 'data-centre')].length;
      this.dataCentreCount = Math.max(1, count);
    }
    return this.dataCentreCount;
  }

  private logShortage(
    workspaceId: WorkspaceId,
    entry: LentWorkspace,
    nowMs: number,
  ): void {
    const sinceMs = nowMs - entry.emptyAtMs;
    entry.emptyAtMs = nowMs;
    if (sinceMs < SHORTAGE_LOG_MS) return;
    this.options.observer.log('info', COMPONENT, 'permits-short', {
      workspaceId,
      version: this.options.getConfiguration().state.version,
      tokens: round(entry.lender.getTokenCount(nowMs)),
      lent: round(entry.lender.getLoanCount(nowMs)),
      ...describeLimits(entry.limits),
    });
  }
}

function describeGrant(grantedCount: number, count: number): string {
  if (grantedCount === count) return 'lent';
  return grantedCount === 0 ? 'empty' : 'lent-part';
}

function describeLimits({ratePerSecond, capacity}: LenderLimits): {
  ratePerSecond: number;
  capacity: number;
} {
  return {ratePerSecond: round(ratePerSecond), capacity: round(capacity)};
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
