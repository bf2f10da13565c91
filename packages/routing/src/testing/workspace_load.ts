/** Load of many workspaces on one gate, for tests of fair shares. */

import {SlotScheduler} from '../slot_scheduler.js';
import type {ClassResult, RequestClass} from './overload_model.js';
import {OverloadModel} from './overload_model.js';

/** A kind of request that every workspace sends. */
export interface WorkspaceKind {
  readonly name: string;
  /** Part of the requests of a workspace. */
  readonly part: number;
  readonly urgency: number;
  readonly meanRunMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
}

/** Load of one workspace. */
export interface WorkspaceLoad {
  readonly id: string;
  readonly requestsPerSecond: number;
  readonly priority?: number;
}

/** Parameters of a simulated gate. */
export interface GateLoad {
  readonly slots: number;
  readonly workspaces: readonly WorkspaceLoad[];
  readonly kinds: readonly WorkspaceKind[];
  /** Further requests without a workspace. */
  readonly others?: readonly RequestClass[];
  readonly lengthMs: number;
  readonly seed: number;
  /** Whether the gate knows the workspaces. */
  readonly isShared: boolean;
}

/** Results by name of the class: workspace and kind, or the name of the other. */
export type GateResults = ReadonlyMap<string, ClassResult>;

/** Distance of the urgencies of consecutive priorities, as the entry combines them. */
const PRIORITY_STEP = 1_001;

/** Simulates the load on one gate. */
export function runGateLoad(load: GateLoad): GateResults {
  const classes: RequestClass[] = [...(load.others ?? [])];
  for (const {id, requestsPerSecond, priority = 1} of load.workspaces) {
    for (const {part, name, urgency, ...kind} of load.kinds) {
      classes.push({
        ...kind,
        name: `${id}/${name}`,
        requestsPerSecond: requestsPerSecond * part,
        urgency: (priority + 1) * PRIORITY_STEP + urgency,
        ...(load.isShared ? {workspaceId: id, workspaceUrgency: priority} : {}),
      });
    }
  }
  const model = new OverloadModel(
    new SlotScheduler(load.slots),
    newRandom(load.seed),
  );
  return model.run(classes, load.lengthMs);
}

/** Sums the results whose name is selected. */
export function sumResults(
  results: Iterable<GateResults>,
  isSelected: (name: string) => boolean,
): ClassResult {
  const sum = {offered: 0, inTime: 0, late: 0, refused: 0, refusedWaitMs: 0};
  for (const run of results) {
    for (const [name, result] of run) {
      if (!isSelected(name)) continue;
      sum.offered += result.offered;
      sum.inTime += result.inTime;
      sum.late += result.late;
      sum.refused += result.refused;
      sum.refusedWaitMs += result.refusedWaitMs;
    }
  }
  return sum;
}

/** Share of the requests that were served, late ones included. */
export function getServedShare({offered, inTime, late}: ClassResult): number {
  return offered === 0 ? 1 : (inTime + late) / offered;
}

// A linear congruential generator is good enough for arrival times.
function newRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}
