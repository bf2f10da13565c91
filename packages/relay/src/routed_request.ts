/**
 * Routes one request: chooses gates, and retries where the request is idempotent
 * or was certainly not run.
 */

import {QUARANTINE_TTL_MS} from '@cassiaknot/coordination';
import type {RelayFrameOf} from '@cassiaknot/peer-protocol';
import type {SpillWindow} from '@cassiaknot/routing';
import {DEFAULT_RUN_TIME_SHARE, MIN_RUN_TIME_SHARE} from '@cassiaknot/routing';
import {
  MIN_RETRY_AFTER_MS,
  REPLY_GRACE_MS,
  RETRY_AFTER_MS,
} from './constants.js';
import type {CallerRequest, EntryContext, RoutePlan} from './entry_types.js';
import type {ChosenGate} from './gate_choice.js';
import {GateChoice} from './gate_choice.js';
import type {GateLink, GateReply, PendingCall} from './gate_link.js';
import type {LogFields} from './observer.js';
import type {RefusalReason, RelayOutcome} from './outcome.js';
import {describeOutcome, newRefusal, toRefusalReason} from './outcome.js';
import {MIN_SERVER_ERROR_STATUS, isRetryable} from './retryable_outcome.js';
import {planReturnMs} from './return_time.js';
import {ShareRefusals} from './share_refusals.js';
import {SilentCalls} from './silent_calls.js';

const COMPONENT = 'entry';
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

const LINK_SILENT: GateReply = {kind: 'loss', reason: 'link-silent'};

/** State of one request while it is being routed. */
export class RoutedRequest {
  private readonly choice: GateChoice;
  private readonly deadlineAtMs: number;
  /** Number of attempts that reached a target, or may have. */
  private arrivalCount = 0;
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
  private readonly shareRefusals = new ShareRefusals();
  private lastRefusal: RefusalReason = 'no-target';
  private isFinished = false;

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
    this.choice = new GateChoice(entry, plan, this.shareRefusals);
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
    const {ruleId, serviceId, version, workspace} = this.plan;
    return {
      ruleId,
      serviceId,
      version,
      workspaceId: workspace?.id,
      gate: this.lastGate?.instanceId,
      offers: this.offerCount,
      arrivals: this.arrivalCount,
      acceptingGates: this.choice.acceptingGateCount,
      shareRefusals: this.shareRefusals.getCount() || undefined,
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
      const reply = await this.attempt(choice);
      if (!reply) continue;
      const outcome = this.handleReply(choice.link, reply);
      if (!outcome) continue;
      // A refusal by this gate doesn't rule out an earlier run at another one.
      if (outcome.kind !== 'refused' || !fallback) fallback = outcome;
      if (!this.acquireRetry(outcome)) return fallback;
      this.logEvent('repeat', choice.link, describeOutcome(outcome));
    }
  }

  private chooseGate(): ChosenGate | undefined {
    const {plan, entry, offerCount} = this;
    const remainingMs = this.getRemainingMs();
    if (this.isFinished || remainingMs <= 0) return undefined;
    if (!this.shareRefusals.mayOffer()) return undefined;
    const meanRunMs =
      entry.runTimes.get(plan.ruleId) ??
      plan.objectiveMs * DEFAULT_RUN_TIME_SHARE;
    if (remainingMs < MIN_RUN_TIME_SHARE * meanRunMs) {
      this.lastRefusal = 'deadline';
      return undefined;
    }
    const objectiveLeftMs = this.getObjectiveLeftMs();
    const context = {meanRunMs, remainingMs, objectiveLeftMs, offerCount};
    const chosen = this.choice.next(context);
    if (this.choice.hasSkippedOverloaded) this.lastRefusal = 'overloaded';
    return chosen;
  }

  private async attempt({
    link,
    maxWaitMs,
    maxFinishMs,
  }: ChosenGate): Promise<GateReply | undefined> {
    const {plan, request, entry} = this;
    this.choice.exclude(link);
    this.lastGate = link;
    this.offerCount += 1;
    this.shareRefusals.recordOffer();
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
      maxFinishMs,
      isFromElsewhere: this.choice.findSpillWindow(link) ? true : undefined,
      objectiveMs: plan.objectiveMs,
      objectiveLeftMs: this.getObjectiveLeftMs(),
      urgency: plan.urgency,
      isIdempotent: plan.isIdempotent,
      workspaceId: plan.workspace?.id,
    });
    const spill = this.choice.findSpillWindow(link);
    spill?.recordOffer();
    this.pendingOffer = {link, call};
    const reply = await Promise.race([
      call.reply,
      call.silence.then(() => LINK_SILENT),
    ]);
    this.pendingOffer = undefined;
    if (spill) this.recordSpill(spill, link, reply);
    if (reply === LINK_SILENT) this.silentCalls.add(link, call);
    return reply;
  }

  private recordSpill(
    spill: SpillWindow,
    link: GateLink,
    reply: GateReply,
  ): void {
    const {observer} = this.entry.options;
    const nowMs = performance.now();
    if (reply.kind === 'answer') {
      observer.count('spill', 'answered');
      spill.recordAnswer(nowMs);
    } else if (reply.kind === 'refusal' && reply.reason === 'overloaded') {
      observer.count('spill', 'refused');
      const holdMs = spill.recordRefusal(reply.waitMs, nowMs);
      const {dataCentreId} = link;
      this.logEvent('spill-held', link, {
        dataCentreId,
        holdMs: Math.round(holdMs),
        waitMs: Math.round(reply.waitMs),
      });
    } else {
      observer.count('spill', 'other');
      spill.recordOther();
    }
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
    if (reason === 'over-share') this.shareRefusals.recordRefusal(reply.waitMs);
    this.recordLoad(reply);
    if (isForLoad(reason)) {
      this.choice.recordOverload(link, reply, this.getRemainingMs());
    }
    if (!reply.hasArrived) return undefined;
    // The target itself refused the request, so this attempt is an arrival.
    this.arrivalCount += 1;
    link.recordOutcome(true);
    return this.getRefusalOutcome();
  }

  private acquireRetry(outcome: RelayOutcome): boolean {
    if (!isRetryable(outcome, this.plan.isIdempotent)) return false;
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

  private getRefusalOutcome(): RelayOutcome {
    const reason = this.lastRefusal;
    // Jitter keeps callers that were refused together from retrying together.
    const jitter = 0.5 + this.entry.options.random();
    if (TRANSIENT_REFUSALS.has(reason)) {
      return newRefusal(reason, MIN_RETRY_AFTER_MS * 2 * jitter);
    }
    if (reason === 'quarantined') return newRefusal(reason, QUARANTINE_TTL_MS);
    const isOverShare = this.shareRefusals.getCount() > 0;
    if (!isForLoad(reason) && !isOverShare) {
      return newRefusal(reason, RETRY_AFTER_MS);
    }
    if (isOverShare) {
      return this.refuseUntil('over-share', this.shareRefusals.getWaitMs());
    }
    const waitMs = this.choice.getShortestWaitMs() ?? RETRY_AFTER_MS;
    if (this.plan.workspace) return this.refuseUntil(reason, waitMs);
    return newRefusal(reason, Math.max(MIN_RETRY_AFTER_MS, waitMs * jitter));
  }

  private refuseUntil(reason: RefusalReason, waitMs: number): RelayOutcome {
    const {ruleId, timeoutMs} = this.plan;
    const retryAfterMs = planReturnMs({
      waitMs,
      remainingMs: this.getRemainingMs(),
      timeoutMs,
      runMs: this.entry.runTimes.get(ruleId) ?? 0,
      random: this.entry.options.random(),
    });
    return newRefusal(reason, retryAfterMs);
  }

  // Without an arrival or a pending offer, no gate can have run the request.
  private getTimeoutOutcome(): RelayOutcome {
    if (this.arrivalCount === 0 && !this.hasPendingCalls()) {
      return newRefusal('deadline', MIN_RETRY_AFTER_MS);
    }
    return {kind: 'lost', reason: 'timeout'};
  }

  private getObjectiveLeftMs(): number {
    const {request, plan} = this;
    return request.receivedAtMs + plan.objectiveMs - performance.now();
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

function isForLoad(reason: RefusalReason): boolean {
  return reason === 'overloaded' || reason === 'slow';
}
