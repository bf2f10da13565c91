/** Chooses the gates to which one request is offered, one after the other. */

import type {RelayFrameOf} from '@cassiaknot/peer-protocol';
import type {SpillWindow, TargetEstimate} from '@cassiaknot/routing';
import {
  chooseOfTwo,
  keepInDataCentre,
  rankTargets,
  sampleTargets,
} from '@cassiaknot/routing';
import {
  BOUNDED_WAIT_SHARE,
  MAX_BOUNDED_OFFERS,
  WAIT_REPORT_TTL_MS,
} from './constants.js';
import type {EntryContext, RoutePlan} from './entry_types.js';
import type {GateLink} from './gate_link.js';
import type {ShareRefusals} from './share_refusals.js';

/**
 * A gate may decline an offer if its target is expected to take longer than both
 * this multiple of the mean of the service and this share of the time left. With a
 * multiple of 1.5, gates decline twice as many offers for the same share in time.
 */
const ACCEPTED_FINISH_FACTOR = 2;
const ACCEPTED_FINISH_SHARE = 0.5;

/** A gate to which a request is offered next. */
export interface ChosenGate {
  readonly link: GateLink;
  /** Longest time for which the request may wait for a slot there. */
  readonly maxWaitMs: number;
  /** Longest expected time until the response; undefined for any. */
  readonly maxFinishMs: number | undefined;
}

/** What is known of a request when a gate is chosen for it. */
export interface ChoiceContext {
  readonly meanRunMs: number;
  readonly remainingMs: number;
  readonly objectiveLeftMs: number;
  readonly offerCount: number;
}

/** Gates that were tried or skipped for one request. */
export class GateChoice {
  /** Number of accepting gates when a gate was last chosen. */
  acceptingGateCount = 0;
  /** Whether a gate has been skipped since it had just reported a long wait. */
  hasSkippedOverloaded = false;
  /** Whether a gate has been skipped to spare another data centre. */
  private hasHeldSpill = false;
  /** Gates that were tried, or skipped as overloaded. */
  private readonly excludedGates = new Set<GateLink>();
  /**
   * Overloaded gates that could still serve the request before its deadline, with
   * the expected wait that they reported, or the expected time until the response
   * if their target reports its pace.
   */
  private readonly overloadedGates = new Map<GateLink, number>();
  /** Whether the least loaded gate was offered a wait until the deadline. */
  private hasOfferedToLeastLoaded = false;

  constructor(
    private readonly entry: EntryContext,
    private readonly plan: RoutePlan,
    private readonly shareRefusals: ShareRefusals,
  ) {}

  /** Returns the next gate; undefined if the request has to be refused. */
  next(context: ChoiceContext): ChosenGate | undefined {
    this.hasSkippedOverloaded = false;
    const {remainingMs} = context;
    if (context.offerCount < MAX_BOUNDED_OFFERS) {
      const chosen = this.chooseBounded(context);
      if (chosen) return chosen;
      if (this.hasHeldSpill) this.entry.options.observer.count('spill', 'held');
    }
    if (this.hasOfferedToLeastLoaded) return undefined;
    this.hasOfferedToLeastLoaded = true;
    const link = this.findLeastLoaded();
    return link && {link, maxWaitMs: remainingMs, maxFinishMs: undefined};
  }

  /** Makes no further offer to a gate. */
  exclude(link: GateLink): void {
    this.excludedGates.add(link);
  }

  /** Records the load that a gate reports with its refusal for load. */
  recordOverload(
    link: GateLink,
    {waitMs, runMs, pace}: RelayFrameOf<'refusal'>,
    remainingMs: number,
  ): void {
    const finishMs = waitMs + Math.max(0, runMs);
    if (finishMs > remainingMs) return;
    const isPaced = pace !== undefined;
    this.overloadedGates.set(link, isPaced ? finishMs : waitMs);
  }

  /** Returns the bound on requests to the data centre of a gate; none to the own. */
  findSpillWindow(link: GateLink): SpillWindow | undefined {
    if (link.isSameDataCentre) return undefined;
    const load = this.entry.getServiceLoad(this.plan.serviceId);
    if (load.getMeanPace() === undefined) return undefined;
    return load.getSpillWindow(link.dataCentreId);
  }

  /** Returns the shortest wait that the excluded gates have reported, if any. */
  getShortestWaitMs(): number | undefined {
    if (this.excludedGates.size === 0) return undefined;
    let waitMs = Infinity;
    for (const link of this.excludedGates) {
      waitMs = Math.min(waitMs, link.estimate(this.plan.ruleId).reportedWaitMs);
    }
    return waitMs;
  }

  private chooseBounded(context: ChoiceContext): ChosenGate | undefined {
    const {entry, plan} = this;
    this.hasHeldSpill = false;
    const accepting = entry.options.directory.findAccepting(plan.serviceId);
    this.acceptingGateCount = accepting.length;
    const load = entry.getServiceLoad(plan.serviceId);
    const isPaced = load.getMeanPace() !== undefined;
    for (;;) {
      const untried = accepting.filter(
        link => !this.excludedGates.has(link) && this.mayReach(link),
      );
      if (untried.length === 0) return undefined;
      const compared = isPaced
        ? sampleTargets(untried, entry.options.random)
        : untried;
      const estimates = compared
        .map(link => link.estimate(plan.ruleId))
        .filter(estimate => !this.skipIfOverloaded(estimate, context));
      const ranking = {
        meanRunMs: context.meanRunMs,
        objectiveMs: plan.objectiveMs,
        meanPace: load.getMeanPace(),
        meanWaitMs: load.getMeanWaitMs(),
      };
      const candidates = this.shareRefusals.selectCandidates(estimates);
      const ranked = rankTargets(candidates, ranking);
      const best = isPaced
        ? chooseOfTwo(keepInDataCentre(ranked, ranking))
        : ranked[0];
      if (!best) continue;
      // A sole candidate may queue the request until its deadline.
      const isSole =
        untried.length - compared.length + estimates.length === 1 &&
        this.overloadedGates.size === 0;
      const {remainingMs} = context;
      return {
        link: best.target,
        maxWaitMs: isSole ? remainingMs : BOUNDED_WAIT_SHARE * plan.objectiveMs,
        maxFinishMs: isSole ? undefined : this.getMaxFinishMs(context),
      };
    }
  }

  // The last bounded offer goes to a target for lack of a better one.
  private getMaxFinishMs({
    objectiveLeftMs,
    offerCount,
  }: ChoiceContext): number | undefined {
    if (offerCount >= MAX_BOUNDED_OFFERS - 1) return undefined;
    const {ruleId, serviceId} = this.plan;
    const load = this.entry.getServiceLoad(serviceId);
    const meanMs = load.getMeanFinishMs(ruleId);
    if (meanMs === undefined) return undefined;
    return Math.max(
      ACCEPTED_FINISH_FACTOR * meanMs,
      ACCEPTED_FINISH_SHARE * objectiveLeftMs,
    );
  }

  private mayReach(link: GateLink): boolean {
    const spill = this.findSpillWindow(link);
    if (!spill || spill.mayOffer(performance.now())) return true;
    this.hasSkippedOverloaded = true;
    this.hasHeldSpill = true;
    return false;
  }

  // Skips a gate that has just reported a long wait: under overload, the offers
  // themselves would use up the CPU.
  private skipIfOverloaded(
    estimate: TargetEstimate<GateLink>,
    {remainingMs}: ChoiceContext,
  ): boolean {
    const {reportedWaitMs, reportAgeMs, target} = estimate;
    if (reportAgeMs > WAIT_REPORT_TTL_MS) return false;
    if (reportedWaitMs <= BOUNDED_WAIT_SHARE * this.plan.objectiveMs) {
      return false;
    }
    this.excludedGates.add(target);
    this.hasSkippedOverloaded = true;
    const runMs = estimate.runMs ?? 0;
    const finishMs = reportedWaitMs + runMs;
    if (finishMs <= remainingMs) {
      this.overloadedGates.set(
        target,
        estimate.pace ? finishMs : reportedWaitMs,
      );
    }
    return true;
  }

  private findLeastLoaded(): GateLink | undefined {
    let best: GateLink | undefined;
    let bestMs = Infinity;
    for (const [link, loadMs] of this.overloadedGates) {
      if (loadMs >= bestMs || !link.getTargetState()?.isAccepting) continue;
      best = link;
      bestMs = loadMs;
    }
    return best;
  }
}
