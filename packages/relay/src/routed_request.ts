/**
 * One request on its way: chooses targets, and sends the request once more
 * where that can't run it twice.
 */

import {QUARANTINE_TTL_MS} from '@cassiaknot/coordination';
import type {RelayFrameOf} from '@cassiaknot/peer-protocol';
import type {TargetEstimate} from '@cassiaknot/routing';
import {
  INITIAL_WORK_SHARE,
  MIN_WORK_SHARE,
  rankTargets,
} from '@cassiaknot/routing';
import {
  BOUNDED_WAIT_SHARE,
  FRESH_REPORT_MS,
  MAX_BOUNDED_OFFERS,
  MIN_RETRY_AFTER_MS,
  UNKNOWN_RETRY_AFTER_MS,
} from './constants.js';
import type {CallerRequest, EntryContext, RoutePlan} from './entry_types.js';
import type {GateLink, GateReply, PendingCall} from './gate_link.js';
import type {DecisionFields} from './observer.js';
import type {LossReason, RefusalReason, RelayOutcome} from './outcome.js';
import {describe, refuse, toRefusalReason} from './outcome.js';

const PART = 'entry';
const RETRIED_LOSSES: ReadonlySet<LossReason> = new Set([
  'link-lost',
  'link-silent',
  'target-lost',
  'target-silent',
  'answer-cut',
  'answer-foreign',
]);
/** Refusals that say nothing of the load: the next offer may well succeed. */
const PASSING_REFUSALS: ReadonlySet<RefusalReason> = new Set([
  'target-refused',
  'connect-failed',
  'target-down',
  'draining',
  'stopping',
  'closed',
  'link-unverified',
]);
/** Parts of the retry budget that repeats may use, by what they follow. */
const LOSS_REPEAT_SHARE = 0.5;
const FAILURE_REPEAT_SHARE = 0.25;
/** First status of failures of the target itself. */
const SERVER_FAILURE_STATUS = 500;
const GATEWAY_TIMEOUT_STATUS = 504;

/** One request on its way. */
export class RoutedRequest {
  private readonly tried = new Set<GateLink>();
  /** Gates that refused for load, with the wait that they told. */
  private readonly busy = new Map<GateLink, number>();
  private readonly deadlineAtMs: number;
  private arrivals = 0;
  /** Gates that took requests when the last target was chosen. */
  private acceptingGates = 0;
  private offers = 0;
  private current: {link: GateLink; call: PendingCall} | undefined;
  /** The gate that was asked last. */
  private lastGate: GateLink | undefined;
  private lastRefusal: RefusalReason = 'no-target';
  private isOver = false;
  private hasAskedUnbounded = false;

  constructor(
    private readonly entry: EntryContext,
    private readonly request: CallerRequest,
    private readonly plan: RoutePlan,
  ) {
    const limitMs = Math.min(
      request.deadlineMs ?? plan.timeoutMs,
      plan.timeoutMs,
    );
    this.deadlineAtMs = request.receivedAtMs + limitMs;
  }

  async run(): Promise<RelayOutcome> {
    let stop: (outcome: RelayOutcome) => void = () => undefined;
    const stopped = new Promise<RelayOutcome>(resolve => {
      stop = resolve;
    });
    const timer = setTimeout(
      () => stop(this.getTimeoutOutcome()),
      Math.max(0, this.getRemainingMs()),
    );
    const handleAbort = () => stop({kind: 'lost', reason: 'cancelled'});
    const {signal} = this.request;
    signal.addEventListener('abort', handleAbort, {once: true});
    if (signal.aborted) handleAbort();
    const outcome = await Promise.race([this.attemptAll(), stopped]);
    this.isOver = true;
    clearTimeout(timer);
    signal.removeEventListener('abort', handleAbort);
    this.current?.link.cancel(this.current.call.callId);
    return outcome;
  }

  /** What the request went through, for the line of its outcome. */
  describeProgress(): DecisionFields {
    const {ruleId, serviceId, version} = this.plan;
    return {
      ruleId,
      serviceId,
      version,
      gate: this.lastGate?.instanceId,
      offers: this.offers,
      arrivals: this.arrivals,
      acceptingGates: this.acceptingGates,
    };
  }

  private async attemptAll(): Promise<RelayOutcome> {
    let fallback: RelayOutcome | undefined;
    for (;;) {
      const choice = this.choose();
      if (!choice) return fallback ?? this.refuse();
      const reply = await this.attempt(choice.link, choice.maxWaitMs);
      if (!reply) continue;
      const outcome = this.judge(choice.link, reply);
      if (!outcome) continue;
      // A refusal here says nothing about an earlier run elsewhere.
      if (outcome.kind !== 'refused' || !fallback) fallback = outcome;
      if (!this.mayRepeat(outcome)) return fallback;
      this.report('repeat', choice.link, describe(outcome));
    }
  }

  private choose(): {link: GateLink; maxWaitMs: number} | undefined {
    const {plan, entry} = this;
    const remainingMs = this.getRemainingMs();
    if (this.isOver || remainingMs <= 0) return undefined;
    const usualRunMs =
      entry.usualRuns.get(plan.ruleId) ?? plan.objectiveMs * INITIAL_WORK_SHARE;
    if (remainingMs < MIN_WORK_SHARE * usualRunMs) {
      this.lastRefusal = 'deadline';
      return undefined;
    }
    if (this.offers < MAX_BOUNDED_OFFERS) {
      const accepting = entry.options.directory.findAccepting(plan.serviceId);
      this.acceptingGates = accepting.length;
      const estimates = accepting
        .filter(link => !this.tried.has(link))
        .map(link => link.estimate(plan.ruleId))
        .filter(estimate => !this.isSurelyBusy(estimate));
      const {objectiveMs} = plan;
      const [best] = rankTargets(estimates, {usualRunMs, objectiveMs});
      if (best) {
        const maxWaitMs =
          estimates.length === 1 && this.busy.size === 0
            ? remainingMs
            : BOUNDED_WAIT_SHARE * objectiveMs;
        return {link: best.target, maxWaitMs};
      }
    }
    if (this.hasAskedUnbounded) return undefined;
    this.hasAskedUnbounded = true;
    const link = this.findLeastBusy();
    return link && {link, maxWaitMs: remainingMs};
  }

  // What a gate has just told need not be asked again: under an overload the
  // asking itself would take the processor.
  private isSurelyBusy(estimate: TargetEstimate<GateLink>): boolean {
    const {reportedWaitMs, reportAgeMs, target} = estimate;
    if (reportAgeMs > FRESH_REPORT_MS) return false;
    if (reportedWaitMs <= BOUNDED_WAIT_SHARE * this.plan.objectiveMs) {
      return false;
    }
    this.tried.add(target);
    this.lastRefusal = 'overloaded';
    const runMs = estimate.runMs ?? 0;
    if (reportedWaitMs + runMs <= this.getRemainingMs()) {
      this.busy.set(target, reportedWaitMs);
    }
    return true;
  }

  private findLeastBusy(): GateLink | undefined {
    let best: GateLink | undefined;
    let bestWaitMs = Infinity;
    for (const [link, waitMs] of this.busy) {
      if (waitMs >= bestWaitMs || !link.getTarget()?.isAccepting) continue;
      best = link;
      bestWaitMs = waitMs;
    }
    return best;
  }

  private async attempt(
    link: GateLink,
    maxWaitMs: number,
  ): Promise<GateReply | undefined> {
    const {plan, request, entry} = this;
    this.tried.add(link);
    this.lastGate = link;
    this.offers += 1;
    // An offer into a dead link could neither be taken back nor repeated.
    if (!plan.isIdempotent && !link.isFresh() && !(await link.verify())) {
      this.lastRefusal = 'link-unverified';
      this.report('unverified', link, {});
      return undefined;
    }
    if (this.isOver) return undefined;
    const call = link.offer({
      requestId: request.requestId,
      serviceId: plan.serviceId,
      ruleId: plan.ruleId,
      method: request.method,
      path: request.path,
      headers: [...request.headers],
      body: request.body,
      callerServiceId: entry.options.getCallerServiceId(),
      remainingMs: Math.max(0, this.getRemainingMs()),
      maxWaitMs,
      objectiveMs: plan.objectiveMs,
      objectiveLeftMs:
        request.receivedAtMs + plan.objectiveMs - performance.now(),
      urgency: plan.urgency,
      isIdempotent: plan.isIdempotent,
    });
    this.current = {link, call};
    const reply = await call.reply;
    this.current = undefined;
    return reply;
  }

  /** Returns the outcome, or undefined where the next gate is to be asked. */
  private judge(link: GateLink, reply: GateReply): RelayOutcome | undefined {
    switch (reply.kind) {
      case 'answer':
        return this.judgeAnswer(link, reply);
      case 'refusal':
        return this.judgeRefusal(link, reply);
      case 'loss':
        this.arrivals += 1;
        link.recordOutcome(true);
        return {kind: 'lost', reason: reply.reason};
    }
  }

  private judgeAnswer(
    link: GateLink,
    reply: RelayFrameOf<'answer'>,
  ): RelayOutcome {
    const {statusCode, headers, body, isFramed, runMs} = reply;
    const {ruleId} = this.plan;
    this.arrivals += 1;
    link.recordOutcome(statusCode >= SERVER_FAILURE_STATUS);
    link.learnRun(ruleId, runMs);
    if (runMs >= 0) this.entry.usualRuns.record(ruleId, runMs);
    return {kind: 'answered', statusCode, headers, body, isFramed};
  }

  private judgeRefusal(
    link: GateLink,
    reply: RelayFrameOf<'refusal'>,
  ): RelayOutcome | undefined {
    const reason = toRefusalReason(reply.reason);
    this.lastRefusal = reason;
    if (reason === 'quarantined') return this.refuse();
    const finishMs = reply.waitMs + Math.max(0, reply.runMs);
    if (reason === 'overloaded' && finishMs <= this.getRemainingMs()) {
      this.busy.set(link, reply.waitMs);
    }
    if (!reply.hasArrived) return undefined;
    // The target itself refused: this counts as an arrival there.
    this.arrivals += 1;
    link.recordOutcome(true);
    return this.refuse();
  }

  private mayRepeat(outcome: RelayOutcome): boolean {
    if (!this.isRepeatable(outcome)) return false;
    const {plan, entry} = this;
    const {observer, retryWindow, getMemberCount} = entry.options;
    if (this.arrivals >= plan.maxAttempts) return false;
    const usualRunMs = entry.usualRuns.get(plan.ruleId) ?? 0;
    if (this.getRemainingMs() <= usualRunMs) {
      observer.count('retry-denied', 'deadline');
      return false;
    }
    const nowMs = performance.now();
    const memberCount = getMemberCount();
    // A target's own failure often comes from a call that it made, which a
    // repeat would make again; so such repeats get the smaller share.
    const share =
      outcome.kind === 'answered' ? FAILURE_REPEAT_SHARE : LOSS_REPEAT_SHARE;
    const {serviceId} = plan;
    if (!retryWindow.trySpend({serviceId, memberCount, share, nowMs})) {
      observer.count('retry-denied', 'budget');
      return false;
    }
    const {reason} = describe(outcome);
    observer.count('retried', String(reason));
    return true;
  }

  private isRepeatable(outcome: RelayOutcome): boolean {
    switch (outcome.kind) {
      case 'answered':
        return (
          this.plan.isIdempotent &&
          outcome.statusCode >= SERVER_FAILURE_STATUS &&
          outcome.statusCode !== GATEWAY_TIMEOUT_STATUS
        );
      case 'refused':
        return outcome.reason === 'target-refused';
      case 'lost':
        return this.plan.isIdempotent && RETRIED_LOSSES.has(outcome.reason);
    }
  }

  private refuse(): RelayOutcome {
    const reason = this.lastRefusal;
    // Those refused together should not come back together.
    const spread = 0.5 + this.entry.options.random();
    if (PASSING_REFUSALS.has(reason)) {
      return refuse(reason, MIN_RETRY_AFTER_MS * 2 * spread);
    }
    if (reason === 'quarantined') return refuse(reason, QUARANTINE_TTL_MS);
    if (reason !== 'overloaded') return refuse(reason, UNKNOWN_RETRY_AFTER_MS);
    let waitMs = Infinity;
    for (const link of this.tried) {
      waitMs = Math.min(waitMs, link.estimate(this.plan.ruleId).reportedWaitMs);
    }
    return refuse(reason, Math.max(MIN_RETRY_AFTER_MS, waitMs * spread));
  }

  // Nothing was offered to a gate that could still run it: it was not run.
  private getTimeoutOutcome(): RelayOutcome {
    if (this.arrivals === 0 && !this.current) {
      return refuse('deadline', MIN_RETRY_AFTER_MS);
    }
    return {kind: 'lost', reason: 'timeout'};
  }

  private getRemainingMs(): number {
    return this.deadlineAtMs - performance.now();
  }

  private report(
    event: string,
    link: GateLink,
    fields: Readonly<Record<string, string | number>>,
  ): void {
    const {requestId} = this.request;
    const {serviceId, version, ruleId} = this.plan;
    this.entry.options.observer.decide('info', PART, event, {
      requestId,
      gate: link.instanceId,
      serviceId,
      ruleId,
      version,
      arrivals: this.arrivals,
      remainingMs: Math.round(this.getRemainingMs()),
      ...fields,
    });
  }
}
