/**
 * Enforces the quotas of workspaces over the whole mesh: takes permits from the
 * lenders for the requests of this entry, and lends permits to other entries.
 */

import type {
  InstanceId,
  WorkspaceId,
  WorkspaceRecord,
} from '@cassiaknot/inventory';
import type {
  RelayFrameOf,
  RelayLink,
  RelayLinkEvents,
} from '@cassiaknot/peer-protocol';
import type {PermitAsk} from '@cassiaknot/routing';
import {PermitAccount, RetrySlots, getValidMs} from '@cassiaknot/routing';
import type {QuotaAdmission, QuotaGate} from './entry_types.js';
import type {GateWatcher} from './gate_directory.js';
import type {GateLink} from './gate_link.js';
import type {PermitLenderOptions} from './permit_lender.js';
import {PermitLender} from './permit_lender.js';
import type {QuotaPeer} from './quota_peers.js';
import {QuotaPeers} from './quota_peers.js';

/** Dependencies of {@link MeshQuotas}. */
export interface MeshQuotasOptions extends Omit<
  PermitLenderOptions,
  'peers' | 'newRequestNumber'
> {
  readonly dataCentreId: string;
  /** Number of members that share the limits. */
  readonly getMemberCount: () => number;
  readonly random: () => number;
}

interface Waiter {
  readonly sinceMs: number;
  readonly resolve: (admission: QuotaAdmission) => void;
}

interface Account {
  readonly permits: PermitAccount<GateLink>;
  readonly retrySlots: RetrySlots;
  /** Requests that wait for permits, oldest first. */
  waiters: Waiter[];
}

/** Time after which an entry no longer waits for a lender, and asks the next one. */
const LENDER_TIMEOUT_MS = 60;
const PRUNE_INTERVAL_MS = 1_000;

/** Quotas of all workspaces at one instance. */
export class MeshQuotas implements QuotaGate, GateWatcher {
  private readonly accounts = new Map<WorkspaceId, Account>();
  private readonly accountsByAsk = new Map<number, WorkspaceId>();
  private readonly peers: QuotaPeers;
  private readonly lender: PermitLender;
  private lastRequestNumber = 0;
  private prunedAtMs = 0;
  private readonly newRequestNumber = () => (this.lastRequestNumber += 1);

  constructor(private readonly options: MeshQuotasOptions) {
    const {newRequestNumber} = this;
    this.peers = new QuotaPeers(options.self, options.dataCentreId);
    this.lender = new PermitLender({
      ...options,
      peers: this.peers,
      newRequestNumber,
    });
  }

  acquire(
    workspace: WorkspaceRecord,
    nowMs: number,
  ): QuotaAdmission | Promise<QuotaAdmission> {
    if (workspace.ratePerSecond === undefined) return {isAdmitted: true};
    const account = this.getAccount(workspace.id);
    account.permits.recordArrival(nowMs);
    const admission = this.tryTake(account, nowMs);
    if (admission) {
      this.options.observer.count('quota', 'on-hand');
      this.prefetch(workspace.id, account, nowMs);
      return admission;
    }
    return new Promise(resolve => {
      account.waiters.push({sinceMs: nowMs, resolve});
      this.askForWaiters(workspace, account);
    });
  }

  release(
    workspace: WorkspaceRecord,
    permitExpiresAtMs: number,
    nowMs: number,
  ): void {
    const account = this.accounts.get(workspace.id);
    if (!account) return;
    this.options.observer.count('quota', 'released');
    account.permits.release(permitExpiresAtMs, nowMs);
    this.serveWaiters(account, nowMs);
  }

  /** Renews permits that are needed soon; called periodically. */
  sweep(): void {
    const nowMs = performance.now();
    this.peers.sweep(nowMs);
    this.lender.sweep();
    for (const [workspaceId, account] of this.accounts) {
      if (account.waiters.length > 0) continue;
      this.prefetch(workspaceId, account, nowMs);
    }
    if (nowMs - this.prunedAtMs >= PRUNE_INTERVAL_MS) this.prune(nowMs);
  }

  /** Adds the replies of the lender to the handlers of the gate. */
  wrapGateEvents(events: RelayLinkEvents): RelayLinkEvents {
    return {
      onOpen: link => events.onOpen(link),
      onClose: link => events.onClose(link),
      onFrame: (link: RelayLink, frame) => {
        if (frame.kind !== 'permit-request') events.onFrame(link, frame);
        else link.send(this.lender.handleRequest(link, frame));
      },
    };
  }

  /** Returns the workspaces of which this instance lends permits. */
  getLentCount(): number {
    return this.lender.getLentCount();
  }

  onKnown(link: GateLink, dataCentreId: string): void {
    this.peers.add(link, dataCentreId);
  }

  onOpen(instanceId: InstanceId): void {
    this.peers.open(instanceId);
  }

  onClose(instanceId: InstanceId): void {
    this.peers.close(instanceId);
    // What this instance lends follows what it reaches at once.
    this.lender.sweep();
  }

  onForgotten(instanceId: InstanceId): void {
    this.peers.remove(instanceId);
  }

  onPermitGrant(grant: RelayFrameOf<'permit-grant'>): void {
    if (this.lender.handleVote(grant)) return;
    const {requestNumber} = grant;
    const workspaceId = this.accountsByAsk.get(requestNumber);
    if (workspaceId === undefined) return;
    this.accountsByAsk.delete(requestNumber);
    const account = this.accounts.get(workspaceId);
    if (!account) return;
    const nowMs = performance.now();
    account.permits.handleGrant(requestNumber, grant, nowMs);
    this.continueFor(workspaceId, account, nowMs);
  }

  private tryTake(account: Account, nowMs: number): QuotaAdmission | undefined {
    const permitExpiresAtMs = account.permits.take(nowMs);
    if (permitExpiresAtMs === undefined) return undefined;
    return {isAdmitted: true, permitExpiresAtMs};
  }

  private serveWaiters(account: Account, nowMs: number): void {
    const {observer} = this.options;
    while (account.waiters.length > 0) {
      const admission = this.tryTake(account, nowMs);
      if (!admission) return;
      const waiter = account.waiters.shift();
      if (!waiter) return;
      observer.count('quota', 'waited');
      observer.measure('quota-wait', nowMs - waiter.sinceMs);
      waiter.resolve(admission);
    }
    account.permits.endRound();
  }

  private continueFor(
    workspaceId: WorkspaceId,
    account: Account,
    nowMs: number,
  ): void {
    this.serveWaiters(account, nowMs);
    if (account.waiters.length === 0) return;
    const {workspaces} = this.options.getConfiguration().workspaces;
    const workspace = workspaces.get(workspaceId);
    if (workspace) this.askForWaiters(workspace, account);
    else this.refuseWaiters(account, {id: workspaceId}, nowMs);
  }

  private askForWaiters(
    workspace: Pick<WorkspaceRecord, 'id' | 'ratePerSecond'>,
    account: Account,
  ): void {
    const {permits, waiters} = account;
    const lenders = this.listLinks(workspace.id);
    for (;;) {
      const nowMs = performance.now();
      if (permits.isAwaitingGrant()) return;
      const ask = permits.planAsk(
        lenders,
        waiters.length,
        this.newRequestNumber,
        nowMs,
      );
      if (!ask) {
        this.refuseWaiters(account, workspace, nowMs);
        return;
      }
      this.send(workspace.id, account, ask);
    }
  }

  private prefetch(
    workspaceId: WorkspaceId,
    account: Account,
    nowMs: number,
  ): void {
    if (account.permits.isAwaitingGrant()) return;
    const ask = account.permits.planPrefetch(
      this.listLinks(workspaceId),
      this.newRequestNumber,
      nowMs,
    );
    if (ask) this.send(workspaceId, account, ask);
  }

  private send(
    workspaceId: WorkspaceId,
    account: Account,
    ask: PermitAsk<GateLink>,
  ): void {
    const {number: requestNumber, count, returnedCount, lender} = ask;
    this.accountsByAsk.set(requestNumber, workspaceId);
    const isSent = lender.requestPermits({
      kind: 'permit-request',
      requestNumber,
      workspaceId,
      count,
      returnedCount,
    });
    if (!isSent) {
      account.permits.handleSilence(requestNumber, performance.now());
      return;
    }
    setTimeout(
      () => this.handleTimeout(workspaceId, account, ask),
      LENDER_TIMEOUT_MS,
    ).unref();
  }

  private handleTimeout(
    workspaceId: WorkspaceId,
    account: Account,
    {number, lender}: PermitAsk<GateLink>,
  ): void {
    if (!this.accountsByAsk.has(number)) return;
    const nowMs = performance.now();
    account.permits.handleSilence(number, nowMs);
    this.options.observer.count('quota', 'lender-silent');
    // A link that carries nothing any more is closed, and the next lender takes over.
    if (!lender.isSuspect()) void lender.verify();
    this.continueFor(workspaceId, account, nowMs);
  }

  private refuseWaiters(
    account: Account,
    workspace: Pick<WorkspaceRecord, 'id' | 'ratePerSecond'>,
    nowMs: number,
  ): void {
    const {permits, retrySlots, waiters} = account;
    const {observer, random, getMemberCount} = this.options;
    const lenders = this.listLinks(workspace.id);
    const roomAtMs = permits.getRoomAtMs(lenders, nowMs);
    const evenPerSecond =
      (workspace.ratePerSecond ?? 1) / Math.max(1, getMemberCount());
    const admittedPerSecond = permits.getAdmittedPerSecond(nowMs);
    const ratePerSecond = Math.max(evenPerSecond, admittedPerSecond);
    account.waiters = [];
    permits.endRound();
    for (const waiter of waiters) {
      observer.count('quota', lenders.length === 0 ? 'no-lender' : 'over');
      const outlook = {roomAtMs, ratePerSecond, random: random()};
      waiter.resolve({
        isAdmitted: false,
        retryAfterMs: retrySlots.next(outlook, nowMs),
        details: {
          limitPerSecond: workspace.ratePerSecond,
          admittedPerSecond: Math.round(admittedPerSecond),
          lender: lenders[0]?.instanceId,
          lenders: lenders.length,
          roomInMs: Math.round(roomAtMs - nowMs),
          waitedMs: Math.round(nowMs - waiter.sinceMs),
        },
      });
    }
  }

  private listLinks(workspaceId: WorkspaceId): GateLink[] {
    return this.peers.listLenders(workspaceId).map(toLink);
  }

  private getAccount(workspaceId: WorkspaceId): Account {
    let account = this.accounts.get(workspaceId);
    if (!account) {
      const validMs = getValidMs(this.options.bounds);
      const permits = new PermitAccount<GateLink>(validMs);
      account = {permits, retrySlots: new RetrySlots(), waiters: []};
      this.accounts.set(workspaceId, account);
    }
    return account;
  }

  private prune(nowMs: number): void {
    this.prunedAtMs = nowMs;
    for (const [workspaceId, {permits, waiters}] of this.accounts) {
      permits.prune(nowMs);
      if (waiters.length > 0 || !permits.isIdle(nowMs)) continue;
      this.accounts.delete(workspaceId);
    }
    for (const [number, workspaceId] of this.accountsByAsk) {
      const account = this.accounts.get(workspaceId);
      if (!account?.permits.hasAsk(number)) this.accountsByAsk.delete(number);
    }
  }
}

function toLink({link}: QuotaPeer): GateLink {
  return link;
}
