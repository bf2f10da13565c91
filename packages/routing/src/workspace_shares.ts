/**
 * Slot time that each workspace has used and asked for recently, and the part of it
 * that is its fair share. Workspaces of equal urgency share what they have used
 * together: measured use stands for the capacity, so that slots, rate limits and
 * targets that change their speed need no estimate.
 */

import {
  FAIR_LEVEL_TTL_MS,
  MAX_SHARE_ACCOUNTS,
  MAX_SHARE_WAIT_MS,
  MIN_SERVED_PART,
  SHARE_HALF_LIFE_MS,
} from './constants.js';
import {computeFairLevel} from './fair_level.js';

/** The part of a job that decides on whose account it runs. */
export interface ShareSubject {
  /** Group that shares the slots fairly with others; undefined for its own group. */
  readonly workspaceId?: string | undefined;
  /** Priority of the workspace; only those of equal priority share fairly. */
  readonly workspaceUrgency?: number | undefined;
  readonly expectedRunMs: number;
}

/** State of a workspace at a gate, for decisions and log lines. */
export interface WorkspaceShare {
  /** Slot time used recently. */
  readonly useMs: number;
  /** Slot time asked for recently, including what was refused. */
  readonly demandMs: number;
  /** Use up to which the workspace is served before those above theirs. */
  readonly limitMs: number;
  /** Fair level of all workspaces of its urgency, which is no higher. */
  readonly levelMs: number;
  /** Time after which the workspace is likely to be served again. */
  readonly waitMs: number;
}

interface Account {
  urgency: number;
  useMs: number;
  demandMs: number;
  /** Time up to which the sums have decayed. */
  atMs: number;
}

/** Division among the workspaces of one urgency. */
interface FairLevel {
  readonly levelMs: number;
  /** Part of the demand that each gets in any case. */
  readonly minPart: number;
}

/** Sums over the workspaces of one urgency. */
interface Group {
  useMs: number;
  demandMs: number;
  readonly demandsMs: number[];
}

/** Recent demand below which an account says nothing. */
const IDLE_DEMAND_MS = 0.5;
const NO_SHORTAGE: FairLevel = {levelMs: Infinity, minPart: 0};
/** Time over which a constant load adds up to its decayed sum. */
const SUM_MS = SHARE_HALF_LIFE_MS / Math.LN2;

/** Accounts of the workspaces at one gate. Soft state: all start equal. */
export class WorkspaceShares {
  /** Accounts, the least recently changed first. */
  private readonly accounts = new Map<string, Account>();
  private readonly startTimesMs = new Map<ShareSubject, number>();
  private levels = new Map<number, FairLevel>();
  private levelsAtMs = -Infinity;

  constructor(private readonly maxAccounts = MAX_SHARE_ACCOUNTS) {}

  /** Records the demand of an offered job. */
  recordOffer(job: ShareSubject, nowMs: number): void {
    const account = this.touch(job, nowMs);
    if (account) account.demandMs += job.expectedRunMs;
  }

  /** Charges a started job with its expected run time. */
  recordStart(job: ShareSubject, nowMs: number): void {
    const account = this.touch(job, nowMs);
    if (!account) return;
    account.useMs += job.expectedRunMs;
    this.startTimesMs.set(job, nowMs);
  }

  /** Replaces the expected run time of a finished job by the actual one. */
  recordFinish(job: ShareSubject, nowMs: number): void {
    const startedAtMs = this.startTimesMs.get(job);
    if (startedAtMs === undefined) return;
    this.startTimesMs.delete(job);
    const account = this.touch(job, nowMs);
    if (!account) return;
    const excessMs = nowMs - startedAtMs - job.expectedRunMs;
    account.useMs = Math.max(0, account.useMs + excessMs);
    account.demandMs = Math.max(0, account.demandMs + excessMs);
  }

  /** Returns the state of a workspace; undefined if it has no account. */
  getShare(workspaceId: string, nowMs: number): WorkspaceShare | undefined {
    const account = this.accounts.get(workspaceId);
    if (!account) return undefined;
    const factor = getDecay(account, nowMs);
    const useMs = account.useMs * factor;
    const demandMs = Math.max(useMs, account.demandMs * factor);
    const level = this.getLevel(account.urgency, nowMs);
    const limitMs = Math.max(level.levelMs, level.minPart * demandMs);
    const waitMs = estimateShareWaitMs(demandMs, limitMs);
    return {useMs, demandMs, limitMs, levelMs: level.levelMs, waitMs};
  }

  /** Counts the workspaces above their fair share. */
  countOverShare(nowMs: number): number {
    let count = 0;
    for (const workspaceId of this.accounts.keys()) {
      const share = this.getShare(workspaceId, nowMs);
      if (share && share.useMs > share.limitMs) count += 1;
    }
    return count;
  }

  /** Returns the number of workspaces with an account. */
  getAccountCount(): number {
    return this.accounts.size;
  }

  private touch(job: ShareSubject, nowMs: number): Account | undefined {
    const {workspaceId, workspaceUrgency = 0} = job;
    if (workspaceId === undefined) return undefined;
    const known = this.accounts.get(workspaceId);
    const account = known ?? {urgency: 0, useMs: 0, demandMs: 0, atMs: nowMs};
    const factor = getDecay(account, nowMs);
    account.useMs *= factor;
    account.demandMs *= factor;
    account.atMs = Math.max(account.atMs, nowMs);
    account.urgency = workspaceUrgency;
    this.accounts.delete(workspaceId);
    if (this.accounts.size >= this.maxAccounts) this.dropOldest();
    this.accounts.set(workspaceId, account);
    return account;
  }

  private dropOldest(): void {
    for (const workspaceId of this.accounts.keys()) {
      this.accounts.delete(workspaceId);
      return;
    }
  }

  private getLevel(urgency: number, nowMs: number): FairLevel {
    const ageMs = nowMs - this.levelsAtMs;
    if (ageMs < 0 || ageMs >= FAIR_LEVEL_TTL_MS) this.updateLevels(nowMs);
    return this.levels.get(urgency) ?? NO_SHORTAGE;
  }

  private updateLevels(nowMs: number): void {
    this.levelsAtMs = nowMs;
    const groups = new Map<number, Group>();
    const all = {useMs: 0, demandMs: 0};
    for (const [workspaceId, account] of this.accounts) {
      const factor = getDecay(account, nowMs);
      if (account.demandMs * factor < IDLE_DEMAND_MS) {
        this.accounts.delete(workspaceId);
        continue;
      }
      let group = groups.get(account.urgency);
      if (!group) {
        group = {useMs: 0, demandMs: 0, demandsMs: []};
        groups.set(account.urgency, group);
      }
      const useMs = account.useMs * factor;
      // Use is charged after the demand has decayed during the wait.
      const demandMs = Math.max(useMs, account.demandMs * factor);
      group.demandsMs.push(demandMs);
      for (const sums of [group, all]) {
        sums.useMs += useMs;
        sums.demandMs += demandMs;
      }
    }
    const minPart = MIN_SERVED_PART * getServedPart(all);
    this.levels = new Map();
    for (const [urgency, group] of groups) {
      const part = Math.min(minPart, getServedPart(group));
      const levelMs = computeFairLevel(group.demandsMs, group.useMs, part);
      this.levels.set(urgency, {levelMs, minPart: part});
    }
  }
}

function getServedPart({useMs, demandMs}: Omit<Group, 'demandsMs'>): number {
  return demandMs > 0 ? useMs / demandMs : 1;
}

function getDecay(account: Account, nowMs: number): number {
  const ageMs = Math.max(0, nowMs - account.atMs);
  return Math.pow(0.5, ageMs / SHARE_HALF_LIFE_MS);
}

// The demand that was not served would take this long at the rate of the share.
function estimateShareWaitMs(demandMs: number, limitMs: number): number {
  if (demandMs <= limitMs) return 0;
  if (limitMs <= 0) return MAX_SHARE_WAIT_MS;
  return Math.min(MAX_SHARE_WAIT_MS, (demandMs / limitMs - 1) * SUM_MS);
}
