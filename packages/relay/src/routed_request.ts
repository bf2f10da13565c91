/**
 * Routes one request: chooses gates, and retries where the request is idempotent
 * or was certainly not run.
 */

import {QUARANTINE_TTL_MS} from '@cassiaknot/coordination';
import type {RelayFrameOf} from '@cassiaknot/peer-protocol';
import type {TargetEstimate} from '@cassiaknot/routing';
import {
  DEFAULT_RUN_TIME_SHARE,
  MIN_RUN_TIME_SHARE,
  chooseOfTwo,
  rankTargets,
  sampleTargets,
} from '@cassiaknot/routing';
import {
  BOUNDED_WAIT_SHARE,
  MAX_BOUNDED_OFFERS,
  MIN_RETRY_AFTER_MS,
  REPLY_GRACE_MS,
  RETRY_AFTER_MS,
  WAIT_REPORT_TTL_MS,
} from './constants.js';
import type {CallerRequest, EntryContext, RoutePlan} from './entry_types.js';
import type {GateLink, GateReply, PendingCall} from './gate_link.js';
import type {LogFields} from './observer.js';
import type {LossReason, RefusalReason, RelayOutcome} from './outcome.js';
import {describeOutcome, newRefusal, toRefusalReason} from './outcome.js';
import {SilentCalls} from './silent_calls.js';

const COMPONENT = 'entry';
const RETRYABLE_LOSSES: ReadonlySet<LossReason> = new Set([
  'link-lost',
  'link-silent',
  'target-lost',
  'target-silent',
  'answer-cut',
  'answer-foreign',
]);
/** Refusals unrelated to load, after which another offer may well succeed. */
const TRANSIENT_REFUSALS: ReadonlySet<RefusalReason> = new Set([
  'target-refused',
  'connect-failed',
  'target-down',
  'draining',
  'stopping',
  'closed',
  'link-unverified',
]);
/** Shares of the retry budget available to retries after a loss or a failure. */
const LOSS_RETRY_SHARE = 0.5;
const FAILURE_RETRY_SHARE = 0.25;
/**
 * A gate may decline an offer if its target is expected to take longer than both
 * this multiple of the mean of the service and this share of the time left.
 * Tighter values cost more offers than they save late requests.
 */
const ACCEPTED_FINISH_FACTOR = 1.5;
const ACCEPTED_FINISH_SHARE = 0.5;
/** Lowest status code of a server error. */
const MIN_SERVER_ERROR_STATUS = 500;
const GATEWAY_TIMEOUT_STATUS = 504;

const LINK_SILENT: GateReply = {kind: 'loss', reason: 'link-silent'};

/** State of one request while it is being routed. */
export class RoutedRequest {
  /** Gates that were tried, or skipped as overloaded. */
  private readonly excludedGates = new Set<GateLink>();
  /**
   * Overloaded gates that could still serve the request before its deadline, with
   * the expected wait that they reported.
   */
  private readonly overloadedGates = new Map<GateLink, number>();
  private readonly deadlineAtMs: number;
  /** Number of attempts that reached a target, or may have. */
  private arrivalCount = 0;
  /** Number of accepting gates when a gate was last chosen. */
  private acceptingGateCount = 0;
  /** Number of gates tried, including those whose link failed verification. */
  private offerCount = 0;
  /** Offer whose reply is awaited. */
  private pendingOffer: {link: GateLink; call: PendingCall} | undefined;
  /** Gate that received the latest offer. */
  private lastGate: GateLink | undefined;
  /** Offers over links that have fallen silent. */
  private readonly silentCalls = new SilentCalls((link, answer) =>
    this.toAnsweredOutcome(link, answer),
  );
  private lastRefusal: RefusalReason = 'no-target';
  private isFinished = false;
  /** Whether the least loaded gate was offered a wait until the deadline. */
  private hasOfferedToLeastLoaded = false;

  constructor(
    private readonly entry: EntryContext,
    private readonly request: CallerRequest,
    private readonly plan: RoutePlan,
  ) {
    const timeoutMs = Math.min(
      request.timeoutMs ?? plan.timeoutMs,
      plan.timeoutMs,
    );
    this.deadlineAtMs = request.receivedAtMs + timeoutMs;
  }

  /** Whether the request is certain to have its response by the given time. */
  endsBefore(timeMs: number): boolean {
    return this.deadlineAtMs + REPLY_GRACE_MS <= timeMs;
  }

  async run(): Promise<RelayOutcome> {
    let interrupt: (outcome: RelayOutcome) => void = () => undefined;
    const interrupted = new Promise<RelayOutcome>(resolve => {
      interrupt = resolve;
    });
    const handleTimeout = () => interrupt(this.getTimeoutOutcome());
    let timer = setTimeout(
      () => {
        // A reply that is on its way is worth more than a timeout.
        if (!this.hasPendingCalls()) handleTimeout();
        else timer = setTimeout(handleTimeout, REPLY_GRACE_MS);
      },
      Math.max(0, this.getRemainingMs()),
    );
    const handleAbort = () => interrupt({kind: 'lost', reason: 'cancelled'});
    const {signal} = this.request;
    signal.addEventListener('abort', handleAbort, {once: true});
    if (signal.aborted) handleAbort();
    const outcome = await Promise.race([
      this.attemptAll(),
      this.silentCalls.answer,
      interrupted,
    ]);
    this.isFinished = true;
    clearTimeout(timer);
    signal.removeEventListener('abort', handleAbort);
    this.pendingOffer?.link.cancel(this.pendingOffer.call.callId);
    this.silentCalls.cancelAll();
    return outcome;
  }

  private hasPendingCalls(): boolean {
    return this.pendingOffer !== undefined || this.silentCalls.isPending();
  }

  /** Returns the fields logged with the outcome. */
  getLogFields(): LogFields {
    const {ruleId, serviceId, version} = this.plan;
    return {
      ruleId,
      serviceId,
      version,
      gate: this.lastGate?.instanceId,
      offers: this.offerCount,
      arrivals: this.arrivalCount,
      acceptingGates: this.acceptingGateCount,
    };
  }

  // Without a further target to try, an answer over a silent link is still
  // possible, and better than a failure.
  private async attemptAll(): Promise<RelayOutcome> {
    const outcome = await this.attemptUntilFinal();
    if (outcome.kind === 'answered') return outcome;
    await this.silentCalls.whenSettled();
    return outcome;
  }

  private async attemptUntilFinal(): Promise<RelayOutcome> {
    let fallback: RelayOutcome | undefined;
    for (;;) {
      const choice = this.chooseGate();
      if (!choice) return fallback ?? this.getRefusalOutcome();
      const reply = await this.attempt(choice.link, choice.maxWaitMs);
      if (!reply) continue;
      const outcome = this.handleReply(choice.link, reply);
      if (!outcome) continue;
      // A refusal by this gate doesn't rule out an earlier run at another one.
      if (outcome.kind !== 'refused' || !fallback) fallback = outcome;
      if (!this.acquireRetry(outcome)) return fallback;
      this.logEvent('repeat', choice.link, describeOutcome(outcome));
    }
  }

  private chooseGate(): {link: GateLink; maxWaitMs: number} | undefined {
    const {plan, entry} = this;
    const remainingMs = this.getRemainingMs();
    if (this.isFinished || remainingMs <= 0) return undefined;
    const meanRunMs =
      entry.runTimes.get(plan.ruleId) ??
      plan.objectiveMs * DEFAULT_RUN_TIME_SHARE;
    if (remainingMs < MIN_RUN_TIME_SHARE * meanRunMs) {
      this.lastRefusal = 'deadline';
      return undefined;
    }
    if (this.offerCount < MAX_BOUNDED_OFFERS) {
      const accepting = entry.options.directory.findAccepting(plan.serviceId);
      this.acceptingGateCount = accepting.length;
      const load = entry.getServiceLoad(plan.serviceId);
      const meanPace = load.getMeanPace();
      const isPaced = meanPace !== undefined;
      const {random} = entry.options;
      const untried = accepting.filter(link => !this.excludedGates.has(link));
      const compared = isPaced ? sampleTargets(untried, random) : untried;
      const estimates = compared
        .map(link => link.estimate(plan.ruleId))
        .filter(estimate => !this.skipIfOverloaded(estimate));
      const {objectiveMs} = plan;
      const ranked = rankTargets(estimates, {
        meanRunMs,
        objectiveMs,
        meanPace,
        meanWaitMs: load.getMeanWaitMs(),
      });
      const best = isPaced ? chooseOfTwo(ranked) : ranked[0];
      if (best) {
        // A sole candidate may queue the request until its deadline.
        const maxWaitMs =
          estimates.length === 1 && this.overloadedGates.size === 0
            ? remainingMs
            : BOUNDED_WAIT_SHARE * objectiveMs;
        return {link: best.target, maxWaitMs};
      }
    }
    if (this.hasOfferedToLeastLoaded) return undefined;
    this.hasOfferedToLeastLoaded = true;
    const link = this.findLeastLoaded();
    return link && {link, maxWaitMs: remainingMs};
  }

  // Skips a gate that has just reported a long wait: under overload, the offers
  // themselves would use up the CPU.
  private skipIfOverloaded(estimate: TargetEstimate<GateLink>): boolean {
    const {reportedWaitMs, reportAgeMs, target} = estimate;
    if (reportAgeMs > WAIT_REPORT_TTL_MS) return false;
    if (reportedWaitMs <= BOUNDED_WAIT_SHARE * this.plan.objectiveMs) {
      return false;
    }
    this.excludedGates.add(target);
    this.lastRefusal = 'overloaded';
    const runMs = estimate.runMs ?? 0;
    if (reportedWaitMs + runMs <= this.getRemainingMs()) {
      this.overloadedGates.set(target, reportedWaitMs);
    }
    return true;
  }

  private findLeastLoaded(): GateLink | undefined {
    let best: GateLink | undefined;
    let bestWaitMs = Infinity;
    for (const [link, waitMs] of this.overloadedGates) {
      if (waitMs >= bestWaitMs || !link.getTargetState()?.isAccepting) continue;
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
    this.excludedGates.add(link);
    this.lastGate = link;
    this.offerCount += 1;
    // A non-idempotent offer sent over a dead link can't be withdrawn or retried.
    if (
      !plan.isIdempotent &&
      !link.isRecentlyActive() &&
      !(await link.verify())
    ) {
      this.lastRefusal = 'link-unverified';
      this.logEvent('unverified', link, {});
      return undefined;
    }
    if (this.isFinished) return undefined;
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
      maxFinishMs: this.getMaxFinishMs(),
      objectiveMs: plan.objectiveMs,
      objectiveLeftMs:
        request.receivedAtMs + plan.objectiveMs - performance.now(),
      urgency: plan.urgency,
      isIdempotent: plan.isIdempotent,
    });
    this.pendingOffer = {link, call};
    const reply = await Promise.race([
      call.reply,
      call.silence.then(() => LINK_SILENT),
    ]);
    this.pendingOffer = undefined;
    if (reply === LINK_SILENT) this.silentCalls.add(link, call);
    return reply;
  }

  // Offers after the last bounded one go to a target for lack of a better one.
  private getMaxFinishMs(): number | undefined {
    const {plan, entry, request} = this;
    if (this.offerCount >= MAX_BOUNDED_OFFERS) return undefined;
    const meanMs = entry
      .getServiceLoad(plan.serviceId)
      .getMeanFinishMs(plan.ruleId);
    if (meanMs === undefined) return undefined;
    const objectiveLeftMs =
      request.receivedAtMs + plan.objectiveMs - performance.now();
    return Math.max(
      ACCEPTED_FINISH_FACTOR * meanMs,
      ACCEPTED_FINISH_SHARE * objectiveLeftMs,
    );
  }

  /** Returns the outcome, or undefined if the next gate should be tried. */
  private handleReply(
    link: GateLink,
    reply: GateReply,
  ): RelayOutcome | undefined {
    switch (reply.kind) {
      case 'answer':
        return this.handleAnswer(link, reply);
      case 'refusal':
        return this.handleRefusal(link, reply);
      case 'loss':
        this.arrivalCount += 1;
        link.recordOutcome(true);
        return {kind: 'lost', reason: reply.reason};
    }
  }

  private handleAnswer(
    link: GateLink,
    reply: RelayFrameOf<'answer'>,
  ): RelayOutcome {
    this.arrivalCount += 1;
    return this.toAnsweredOutcome(link, reply);
  }

  private toAnsweredOutcome(
    link: GateLink,
    reply: RelayFrameOf<'answer'>,
  ): RelayOutcome {
    const {statusCode, headers, body, isFramed, runMs} = reply;
    const {ruleId} = this.plan;
    link.recordOutcome(statusCode >= MIN_SERVER_ERROR_STATUS);
    const {pace = 1} = reply;
    link.recordRunTime(ruleId, runMs / pace);
    this.recordLoad(reply);
    if (runMs >= 0) this.entry.runTimes.record(ruleId, runMs);
    return {kind: 'answered', statusCode, headers, body, isFramed};
  }

  private recordLoad({
    waitMs,
    runMs,
    pace,
  }: RelayFrameOf<'answer' | 'refusal'>): void {
    if (pace === undefined) return;
    const {ruleId, serviceId} = this.plan;
    const load = this.entry.getServiceLoad(serviceId);
    load.record(ruleId, {waitMs, runMs, pace});
  }

  private handleRefusal(
    link: GateLink,
    reply: RelayFrameOf<'refusal'>,
  ): RelayOutcome | undefined {
    const reason = toRefusalReason(reply.reason);
    this.lastRefusal = reason;
    if (reason === 'quarantined') return this.getRefusalOutcome();
    this.recordLoad(reply);
    const finishMs = reply.waitMs + Math.max(0, reply.runMs);
    const isForLoad = reason === 'overloaded' || reason === 'slow';
    if (isForLoad && finishMs <= this.getRemainingMs()) {
      const isPaced = reply.pace !== undefined;
      this.overloadedGates.set(link, isPaced ? finishMs : reply.waitMs);
    }
    if (!reply.hasArrived) return undefined;
    // The target itself refused the request, so this attempt is an arrival.
    this.arrivalCount += 1;
    link.recordOutcome(true);
    return this.getRefusalOutcome();
  }

  private acquireRetry(outcome: RelayOutcome): boolean {
    if (!this.isRetryable(outcome)) return false;
    const {plan, entry} = this;
    const {observer, retryBudget, getMemberCount} = entry.options;
    if (this.arrivalCount >= plan.maxAttempts) return false;
    const meanRunMs = entry.runTimes.get(plan.ruleId) ?? 0;
    if (this.getRemainingMs() <= meanRunMs) {
      observer.count('retry-denied', 'deadline');
      return false;
    }
    const nowMs = performance.now();
    const memberCount = getMemberCount();
    // A server error is often caused by a nested call of the target, which a
    // retry would repeat, so these retries get the smaller share.
    const share =
      outcome.kind === 'answered' ? FAILURE_RETRY_SHARE : LOSS_RETRY_SHARE;
    const {serviceId} = plan;
    if (!retryBudget.trySpend({serviceId, memberCount, share, nowMs})) {
      observer.count('retry-denied', 'budget');
      return false;
    }
    const {reason} = describeOutcome(outcome);
    observer.count('retried', String(reason));
    return true;
  }

  private isRetryable(outcome: RelayOutcome): boolean {
    switch (outcome.kind) {
      case 'answered':
        return (
          this.plan.isIdempotent &&
          outcome.statusCode >= MIN_SERVER_ERROR_STATUS &&
          outcome.statusCode !== GATEWAY_TIMEOUT_STATUS
        );
      case 'refused':
        return outcome.reason === 'target-refused';
      case 'lost':
        return this.plan.isIdempotent && RETRYABLE_LOSSES.has(outcome.reason);
    }
  }

  private getRefusalOutcome(): RelayOutcome {
    const reason = this.lastRefusal;
    // Jitter keeps callers that were refused together from retrying together.
    const jitter = 0.5 + this.entry.options.random();
    if (TRANSIENT_REFUSALS.has(reason)) {
      return newRefusal(reason, MIN_RETRY_AFTER_MS * 2 * jitter);
    }
    if (reason === 'quarantined') return newRefusal(reason, QUARANTINE_TTL_MS);
    if (reason !== 'overloaded' && reason !== 'slow')
      return newRefusal(reason, RETRY_AFTER_MS);
    let waitMs = Infinity;
    for (const link of this.excludedGates) {
      waitMs = Math.min(waitMs, link.estimate(this.plan.ruleId).reportedWaitMs);
    }
    return newRefusal(reason, Math.max(MIN_RETRY_AFTER_MS, waitMs * jitter));
  }

  // Without an arrival or a pending offer, no gate can have run the request.
  private getTimeoutOutcome(): RelayOutcome {
    if (this.arrivalCount === 0 && !this.hasPendingCalls()) {
      return newRefusal('deadline', MIN_RETRY_AFTER_MS);
    }
    return {kind: 'lost', reason: 'timeout'};
  }

  private getRemainingMs(): number {
    return this.deadlineAtMs - performance.now();
  }

  private logEvent(
    event: string,
    link: GateLink,
    fields: Readonly<Record<string, string | number>>,
  ): void {
    const {requestId} = this.request;
    const {serviceId, version, ruleId} = this.plan;
    this.entry.options.observer.log('info', COMPONENT, event, {
      requestId,
      gate: link.instanceId,
      serviceId,
      ruleId,
      version,
      arrivals: this.arrivalCount,
      remainingMs: Math.round(this.getRemainingMs()),
      ...fields,
    });
  }
}
