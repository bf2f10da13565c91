/** Log lines and counters of the decisions of a gate. */

import type {RelayFrameOf} from '@cassiaknot/peer-protocol';
import type {WorkspaceShare} from '@cassiaknot/routing';
import {describeShare} from './gate_shares.js';
import type {ResponseClassification, ResponseHead} from './header_codec.js';
import type {RelayObserver} from './observer.js';
import type {LossReason, RefusalReason} from './outcome.js';
import type {LimitDecision, RelayTargetSession} from './target_session.js';

const COMPONENT = 'gate';

/** The part of a call that its log lines describe. */
export interface LoggedCall {
  readonly offer: RelayFrameOf<'offer'>;
  readonly session: RelayTargetSession;
  readonly receivedAtMs: number;
  /** Delay of the offer beyond that of the fastest one of its link. */
  readonly transitMs: number;
  readonly isRunning: boolean;
}

/** Why an offer was refused, and whether it had reached the target. */
export interface LoggedRefusal {
  readonly reason: RefusalReason;
  readonly hasArrived: boolean;
}

/** Writes one line a decision. */
export class GateLog {
  constructor(private readonly observer: RelayObserver) {}

  logRefusal(
    offer: RelayFrameOf<'offer'>,
    refusal: LoggedRefusal,
    waitMs: number,
    session: RelayTargetSession | undefined,
    share: WorkspaceShare | undefined,
  ): void {
    this.observer.count('offer-refused', refusal.reason);
    this.observer.log('info', COMPONENT, 'refused', {
      requestId: offer.requestId,
      ruleId: offer.ruleId,
      urgency: offer.urgency,
      workspaceId: offer.workspaceId,
      ...refusal,
      waitMs: Math.round(waitMs),
      remainingMs: Math.round(offer.remainingMs),
      maxWaitMs: Math.round(offer.maxWaitMs),
      targetId: session?.getAnnouncement().targetId,
      targetState: session?.getState(),
      ...session?.getLoad(),
      ...describeShare(share),
    });
  }

  /** Logs a new limit of the target, or that it has none any more. */
  logLimit(
    session: RelayTargetSession,
    limitPerSecond: number | undefined,
  ): void {
    const isLimited = limitPerSecond !== undefined;
    this.observer.count('target-report', isLimited ? 'limit' : 'no-limit');
    this.observer.log('info', COMPONENT, 'target-limit', {
      targetId: session.getAnnouncement().targetId,
      limitPerSecond,
      ...session.getLoad(),
    });
  }

  /** Logs a change of the number of requests that the target runs well at a time. */
  logLimitDecision(
    session: RelayTargetSession,
    decision: LimitDecision | undefined,
  ): void {
    if (!decision) return;
    const {change, limit, gradient = 0, pace} = decision;
    const {targetId, slots} = session.getAnnouncement();
    this.observer.count('target-limit', change);
    this.observer.log('info', COMPONENT, 'concurrency-limit', {
      targetId,
      reason: change,
      limit,
      slots,
      gradient: Number(gradient.toFixed(2)),
      pace: Number(pace.toFixed(2)),
    });
  }

  /** Logs that the target says in a response that it leaves. */
  logLeaving(session: RelayTargetSession): void {
    const {targetId, serviceId} = session.getAnnouncement();
    this.observer.count('target-report', 'leaving');
    this.observer.log('info', COMPONENT, 'target-leaving', {
      targetId,
      serviceId,
      ...session.getLoad(),
    });
  }

  /** Counts a refusal by the target that answers the request. */
  countTargetRefusal(
    refusal: Extract<ResponseClassification, {kind: 'not-run'}>,
  ): void {
    const reason = refusal.isOtherInstance ? 'other-instance' : 'not-run';
    this.observer.count('target-refusal', reason);
  }

  /** Logs a response that is not known to answer its request. */
  logForeignResponse(
    call: LoggedCall,
    head: ResponseHead,
    isRefusal: boolean,
  ): void {
    if (isRefusal) this.observer.count('target-refusal', 'foreign');
    this.observer.log('warn', COMPONENT, 'foreign-response', {
      requestId: call.offer.requestId,
      statusCode: head.statusCode,
      isRefusal,
      precedingResponseCount: head.precedingResponseCount,
      targetId: call.session.getAnnouncement().targetId,
    });
  }

  logLoss(call: LoggedCall, reason: LossReason): void {
    const {offer, session, receivedAtMs} = call;
    this.observer.log('warn', COMPONENT, 'lost', {
      requestId: offer.requestId,
      reason,
      targetId: session.getAnnouncement().targetId,
      targetState: session.getState(),
      heldMs: Math.round(performance.now() - receivedAtMs),
    });
  }

  logWithdrawal(call: LoggedCall): void {
    const {offer, isRunning, transitMs, receivedAtMs} = call;
    this.observer.count('withdrawn', isRunning ? 'running' : 'waiting');
    this.observer.log('info', COMPONENT, 'withdrawn', {
      requestId: offer.requestId,
      isRunning,
      transitMs: Math.round(transitMs),
      heldMs: Math.round(performance.now() - receivedAtMs),
      remainingMs: Math.round(offer.remainingMs),
    });
  }
}
