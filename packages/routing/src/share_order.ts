/**
 * Order of a queue under shortage. Jobs without a workspace come first, as they are
 * usually nested calls of requests that run already. Then come priorities that are
 * served much less than all, then the others by priority; within a priority, jobs
 * within the fair share of their workspace come before those beyond it, those that are
 * beyond it by less before others, and all of these are ordered by urgency. A priority
 * whose higher-ranked kinds are served less than lower ones is ordered by urgency first
 * until that has ended.
 */

import type {JobRefusalReason} from './job.js';
import type {KindService} from './kind_service.js';
import type {ShareSubject, WorkspaceShares} from './workspace_shares.js';

/** The part of a job that determines its place. */
export interface OrderedSubject extends ShareSubject {
  readonly urgency: number;
}

/** Place of a job relative to the fair share of its workspace. */
export type ShareLevel =
  | 'within'
  /** Earlier jobs of the workspace in the queue use up its share. */
  | 'beyond'
  /** The workspace has used more than its share. */
  | 'over';

/** A job in its order. */
export interface OrderedJob<J> {
  readonly job: J;
  readonly level: ShareLevel;
}

const LEVEL_RANKS: Readonly<Record<ShareLevel, number>> = {
  within: 0,
  beyond: 1,
  over: 2,
};
/** Steps in which the excess over the share is told apart, and the highest one. */
const EXCESS_STEPS_PER_DOUBLING = 2;
const MAX_EXCESS = 20;
const UNGROUPED_TIER = 0;
const STARVED_TIER = 1;
const USUAL_TIER = 2;

interface RankedJob<J> extends OrderedJob<J> {
  /** Ranks from the most significant to the least. */
  readonly tier: number;
  readonly workspaceUrgency: number;
  readonly firstRank: number;
  readonly secondRank: number;
}

/** Reorders jobs that are in the order that holds without shortage. */
export function orderByShares<J extends OrderedSubject>(
  jobs: readonly J[],
  shares: WorkspaceShares,
  kinds: KindService,
  nowMs: number,
): ReadonlyArray<OrderedJob<J>> {
  const budgets = new Map<string, Budget>();
  const ranked = jobs.map((job): RankedJob<J> => {
    const {workspaceId, workspaceUrgency = 0, urgency} = job;
    if (workspaceId === undefined) return rankUngrouped(job);
    const {level, excess} = takeBudget(
      job,
      workspaceId,
      budgets,
      shares,
      nowMs,
    );
    const isStarved =
      level === 'within' && kinds.isStarved(workspaceUrgency, nowMs);
    const isInverted = kinds.isInverted(workspaceUrgency, nowMs);
    const levelRank = LEVEL_RANKS[level] + excess;
    return {
      job,
      level,
      tier: isStarved ? STARVED_TIER : USUAL_TIER,
      workspaceUrgency,
      firstRank: isInverted ? urgency : levelRank,
      secondRank: isInverted ? levelRank : urgency,
    };
  });
  return ranked.sort(compareRanks);
}

/** Returns the reason for which a job is refused at its place. */
export function toRefusalReason(
  ordered: OrderedJob<unknown> | undefined,
): JobRefusalReason {
  const isWithin = ordered === undefined || ordered.level === 'within';
  return isWithin ? 'overloaded' : 'over-share';
}

interface Budget {
  readonly isOver: boolean;
  readonly limitMs: number;
  readonly levelMs: number;
  usedMs: number;
}

function takeBudget(
  job: OrderedSubject,
  workspaceId: string,
  budgets: Map<string, Budget>,
  shares: WorkspaceShares,
  nowMs: number,
): {readonly level: ShareLevel; readonly excess: number} {
  let budget = budgets.get(workspaceId);
  if (!budget) {
    const share = shares.getShare(workspaceId, nowMs);
    const limitMs = share?.limitMs ?? Infinity;
    const usedMs = share?.useMs ?? 0;
    const levelMs = share?.levelMs ?? Infinity;
    budget = {isOver: usedMs > limitMs, limitMs, levelMs, usedMs};
    budgets.set(workspaceId, budget);
  }
  const ratio = budget.usedMs / budget.levelMs;
  const isWithin = budget.usedMs <= budget.limitMs;
  budget.usedMs += job.expectedRunMs;
  if (isWithin) return {level: 'within', excess: 0};
  return {level: budget.isOver ? 'over' : 'beyond', excess: toExcess(ratio)};
}

// Steps leave the order of urgency in force among workspaces that exceed their share
// by about as much.
function toExcess(ratio: number): number {
  const step = Math.floor(EXCESS_STEPS_PER_DOUBLING * Math.log2(ratio));
  return Math.min(MAX_EXCESS, Math.max(0, step)) / (MAX_EXCESS + 1);
}

function rankUngrouped<J extends OrderedSubject>(job: J): RankedJob<J> {
  return {
    job,
    level: 'within',
    tier: UNGROUPED_TIER,
    workspaceUrgency: 0,
    firstRank: job.urgency,
    secondRank: 0,
  };
}

function compareRanks(
  left: RankedJob<unknown>,
  right: RankedJob<unknown>,
): number {
  return (
    left.tier - right.tier ||
    left.workspaceUrgency - right.workspaceUrgency ||
    left.firstRank - right.firstRank ||
    left.secondRank - right.secondRank
  );
}
