/**
 * Admission control in front of the local target. All requests to the target
 * pass through its gate, so slots, queue and drain are tracked exactly, and a
 * refusal here guarantees that the request was not run.
 */

import {computeFingerprint} from '@cassiaknot/coordination';
import {isFramed} from '@cassiaknot/http-client';
import type {
  CallId,
  Fingerprint,
  RelayFrame,
  RelayFrameOf,
  RelayLink,
  RelayLinkEvents,
} from '@cassiaknot/peer-protocol';
import type {Job} from '@cassiaknot/routing';
import {TARGET_RESPONSE_GRACE_MS} from './constants.js';
import type {CrashTracker} from './crash_suspects.js';
import {CrashSuspects} from './crash_suspects.js';
import type {EntryConnectionOptions} from './entry_connection.js';
import {EntryConnection} from './entry_connection.js';
import type {LoggedRefusal} from './gate_log.js';
import {
  checkAdmission,
  getLoadFields,
  isSlowerThanOthers,
  toTargetState,
} from './gate_admission.js';
import {GateLog} from './gate_log.js';
import {findDecidingShare, toSharePriority} from './gate_shares.js';
import type {HeaderCodec} from './header_codec.js';
import {PROCESS_MEMORY} from './held_memory.js';
import type {LocalTarget} from './local_target.js';
import type {LossReason, RefusalReason} from './outcome.js';
import {flattenHeaders} from './response_headers.js';
import type {ResponseHeaders, TargetExchange} from './target_client.js';
import type {RelayTargetSession} from './target_session.js';
import {StopLimit} from './stop_limit.js';
import type {Call, ReceivedOffer} from './gate_call.js';

/** Dependencies of a {@link RelayGate}. */
export interface RelayGateOptions extends EntryConnectionOptions {
  readonly localTarget: LocalTarget;
  readonly headerCodec: HeaderCodec;
  readonly crashTracker: CrashTracker;
}

/** Admits requests to the target and reports their results to the entries. */
export class RelayGate {
  private readonly connections = new Map<RelayLink, EntryConnection<Call>>();
  private readonly crashSuspects: CrashSuspects;
  private readonly log: GateLog;
  private isStopping = false;
  private readonly stopLimit = new StopLimit();
  private callCount = 0;

  constructor(private readonly options: RelayGateOptions) {
    this.crashSuspects = new CrashSuspects(options.crashTracker);
    this.log = new GateLog(options.observer);
  }

  /** Returns the handlers for links opened by entries. */
  getLinkEvents(): RelayLinkEvents {
    return {
      onOpen: link => {
        this.connections.set(link, new EntryConnection(this.options));
        link.send(this.getTargetState());
      },
      onFrame: (link, frame) => this.handleFrame(link, frame),
      onClose: link => this.handleLinkClose(link),
    };
  }

  /** Sends the current target state to all connected entries. */
  publishTargetState(): void {
    const state = this.getTargetState();
    for (const link of this.connections.keys()) link.send(state);
  }

  /** Starts no run that can't be repeated and may outlast the given time. */
  limitRuns(serveUntilMs: number): void {
    this.stopLimit.set(serveUntilMs);
    for (const {calls} of this.connections.values()) {
      for (const call of [...calls.values()]) this.refuseIfTooLong(call);
    }
  }

  /** Stops admitting requests; queued and running requests continue. */
  stopAdmission(): void {
    this.isStopping = true;
    this.publishTargetState();
  }

  /** Returns the number of requests that are queued or running. */
  getCallCount(): number {
    return this.callCount;
  }

  private getTargetState(): RelayFrameOf<'target-state'> {
    const session = this.options.localTarget.getSession();
    return toTargetState(session, this.isStopping);
  }

  private handleFrame(link: RelayLink, frame: RelayFrame): void {
    switch (frame.kind) {
      case 'offer':
        this.connections
          .get(link)
          ?.receive(frame, transitMs => this.admit(link, frame, transitMs));
        return;
      case 'cancel':
        this.handleCancel(link, frame.callId);
        return;
      case 'ping':
        this.connections.get(link)?.recordTransit(frame);
        link.send({kind: 'pong', nonce: frame.nonce});
        return;
      default:
        return;
    }
  }

  private admit(
    link: RelayLink,
    offer: RelayFrameOf<'offer'>,
    transitMs: number,
  ): void {
    const session = this.options.localTarget.getSession();
    const received = {link, offer, session, transitMs};
    const reason = checkAdmission(session, offer.serviceId, this.isStopping);
    if (!session || reason) {
      this.refuseOffer(received, reason ?? 'no-target');
      return;
    }
    if (transitMs >= offer.remainingMs) {
      this.refuseOffer(received, 'deadline');
      return;
    }
    const deadlineAtMs = performance.now() - transitMs + offer.remainingMs;
    if (this.stopLimit.mayBeExceededBy(offer.isIdempotent, deadlineAtMs)) {
      this.refuseOffer(received, 'stopping');
      return;
    }
    const {callerServiceId, method, path, body} = offer;
    const fingerprint = computeFingerprint(
      offer.serviceId,
      `${callerServiceId} ${method}`,
      path,
      body,
    );
    if (this.options.crashTracker.getStatus(fingerprint) === 'quarantined') {
      this.refuseOffer(received, 'quarantined');
      return;
    }
    this.schedule(link, offer, session, fingerprint, transitMs);
  }

  private refuseIfTooLong(call: Call): void {
    const {offer, session, job, isRunning} = call;
    const {isIdempotent} = offer;
    if (isRunning) return;
    if (!this.stopLimit.mayBeExceededBy(isIdempotent, job.deadlineAtMs)) return;
    session.scheduler.cancel(job);
    this.settleRefusal(call, 'stopping', false);
  }

  private schedule(
    link: RelayLink,
    offer: RelayFrameOf<'offer'>,
    session: RelayTargetSession,
    fingerprint: Fingerprint,
    transitMs: number,
  ): void {
    const {body} = offer;
    const bodyHolding =
      body.byteLength > 0 ? PROCESS_MEMORY.retain(body, 'offer') : undefined;
    if (body.byteLength > 0 && !bodyHolding) {
      this.refuseOffer({link, offer, session, transitMs}, 'no-memory');
      return;
    }
    const nowMs = performance.now();
    const sentAtMs = nowMs - transitMs;
    const {ruleId, objectiveMs, remainingMs} = offer;
    const job: Job = {
      ...toSharePriority(offer),
      isFromElsewhere: offer.isFromElsewhere,
      expectedRunMs: session.estimateRunMs(ruleId, objectiveMs),
      objectiveAtMs: sentAtMs + offer.objectiveLeftMs,
      deadlineAtMs: sentAtMs + remainingMs,
      maxWaitMs: offer.maxWaitMs,
      start: () => void this.run(call),
      refuse: reason => this.settleRefusal(call, reason, false),
    };
    const call: Call = {
      link,
      offer,
      session,
      fingerprint,
      receivedAtMs: nowMs,
      transitMs,
      controller: new AbortController(),
      job,
      bodyHolding,
      isRunning: false,
      isSettled: false,
    };
    this.addCall(call);
    if (isSlowerThanOthers(job, offer, session, nowMs)) {
      this.settleRefusal(call, 'slow', false);
      return;
    }
    const result = session.scheduler.offer(job, nowMs);
    if (result.kind === 'refused') {
      this.settleRefusal(call, result.reason, false);
    }
  }

  private async run(call: Call): Promise<void> {
    const {offer, session, job, controller} = call;
    call.isRunning = true;
    const startedAtMs = performance.now();
    const remainingMs = job.deadlineAtMs - startedAtMs;
    this.options.observer.measure('gate-wait', startedAtMs - call.receivedAtMs);
    session.beginRun(job, controller);
    const timer = setTimeout(
      () => controller.abort('timeout'),
      remainingMs + TARGET_RESPONSE_GRACE_MS,
    );
    const exchange = await session.client.send({
      method: offer.method,
      path: offer.path,
      headers: this.buildTargetHeaders(call, remainingMs),
      body: offer.body,
      signal: controller.signal,
      usesFreshConnection:
        !offer.isIdempotent && session.hasRecentForeignResponse(),
      classify: head =>
        this.options.headerCodec.classifyResponse(offer.requestId, head),
    });
    clearTimeout(timer);
    call.bodyHolding?.release();
    const hasResponse = exchange.kind === 'response';
    this.endRun(call, exchange);
    const runMs = performance.now() - startedAtMs;
    if (hasResponse) this.options.observer.measure('target-run', runMs);
    this.settle(call, exchange);
  }

  private endRun(call: Call, exchange: TargetExchange): void {
    const {offer, session, job} = call;
    const hasResponse = exchange.kind === 'response';
    // A refusal takes much less time than a run, so it says nothing of run times.
    const isRun = hasResponse && exchange.classification.kind === 'answer';
    const pace = isRun ? this.recordPace(session, exchange.headers) : undefined;
    const end = {hasResponse, isRun, pace};
    this.log.logLimitDecision(session, session.endRun(job, offer.ruleId, end));
  }

  private recordPace(
    session: RelayTargetSession,
    headers: ResponseHeaders,
  ): number | undefined {
    const {pace} = this.options.headerCodec.parseTargetReport(headers);
    if (pace !== undefined) session.recordPace(pace);
    return pace;
  }

  private buildTargetHeaders(call: Call, remainingMs: number): string[] {
    const {offer, session} = call;
    const {requestId, callerServiceId, workspaceId} = offer;
    const {targetId} = session.getAnnouncement();
    const added = this.options.headerCodec.formatTargetHeaders({
      requestId,
      remainingMs,
      targetId,
      callerServiceId,
      workspaceId,
    });
    return [...offer.headers, ...added];
  }

  private settle(call: Call, exchange: TargetExchange): void {
    switch (exchange.kind) {
      case 'response':
        this.settleResponse(call, exchange);
        return;
      case 'unconnected':
        this.handleConnectFailure(call.session, exchange.isRefused);
        this.settleRefusal(call, 'connect-failed', false);
        return;
      case 'lost':
        this.recordLoss(call, exchange.reason);
        this.settleLoss(call, exchange.reason);
        return;
    }
  }

  private settleResponse(
    call: Call,
    response: Extract<TargetExchange, {kind: 'response'}>,
  ): void {
    const {offer, session} = call;
    const {statusCode, headers, body, classification} = response;
    const {headerCodec, crashTracker, observer} = this.options;
    switch (classification.kind) {
      case 'answer':
        crashTracker.clear(call.fingerprint);
        this.applyReport(session, headers);
        this.reply(call, {
          kind: 'answer',
          callId: offer.callId,
          statusCode,
          headers: flattenHeaders(headers, headerCodec.strippedResponseHeaders),
          body,
          isFramed: isFramed(headers),
          isTargetLeaving: session.hasLeft(),
          ...getLoadFields(call),
        });
        return;
      case 'not-run':
        this.log.countTargetRefusal(classification);
        if (classification.isOtherInstance) session.markMisdirected();
        else {
          this.recordPace(session, headers);
          this.applyReport(session, headers);
        }
        this.settleRefusal(call, 'target-refused', true);
        return;
      case 'foreign':
        session.recordForeignResponse();
        this.log.logForeignResponse(call, response, classification.isRefusal);
        observer.count('target-loss', 'answer-foreign');
        this.settleLoss(call, 'answer-foreign');
        return;
    }
  }

  private applyReport(
    session: RelayTargetSession,
    headers: ResponseHeaders,
  ): void {
    const report = this.options.headerCodec.parseTargetReport(headers);
    if (session.limitRuns(report.limitPerSecond)) {
      this.log.logLimit(session, report.limitPerSecond);
    }
    if (!report.isLeaving || session.hasLeft()) return;
    this.log.logLeaving(session);
    session.drain();
  }

  private settleRefusal(
    call: Call,
    reason: RefusalReason,
    hasArrived: boolean,
  ): void {
    if (this.removeCall(call)) this.sendRefusal(call, {reason, hasArrived});
  }

  private refuseOffer(received: ReceivedOffer, reason: RefusalReason): void {
    this.sendRefusal(received, {reason, hasArrived: false});
  }

  private sendRefusal(received: ReceivedOffer, refusal: LoggedRefusal): void {
    const {link, offer, session} = received;
    const load = getLoadFields(received);
    const share = findDecidingShare(
      received,
      refusal.reason,
      performance.now(),
    );
    const waitMs = Math.max(load.waitMs, share?.waitMs ?? 0);
    this.log.logRefusal(offer, refusal, waitMs, session, share);
    const {callId} = offer;
    link.send({kind: 'refusal', callId, ...refusal, ...load, waitMs});
  }

  private settleLoss(call: Call, reason: LossReason): void {
    const {offer} = call;
    this.log.logLoss(call, reason);
    this.reply(call, {
      kind: 'loss',
      callId: offer.callId,
      reason,
      ...getLoadFields(call),
    });
  }

  private reply(call: Call, frame: RelayFrame): void {
    if (this.removeCall(call)) call.link.send(frame);
  }

  private handleConnectFailure(
    session: RelayTargetSession,
    isRefused: boolean,
  ): void {
    session.markDown();
    if (isRefused) this.crashSuspects.reportCrash(performance.now());
  }

  private recordLoss(call: Call, reason: LossReason): void {
    this.options.observer.count('target-loss', reason);
    if (reason !== 'target-lost') return;
    const {serviceId} = call.offer;
    this.crashSuspects.add(serviceId, call.fingerprint, performance.now());
  }

  private handleCancel(link: RelayLink, callId: CallId): void {
    const connection = this.connections.get(link);
    if (!connection || connection.withdrawDelayed(callId)) return;
    this.cancel(connection.calls.get(callId));
  }

  private cancel(call: Call | undefined): void {
    if (!call) return;
    const {offer, session, job, controller} = call;
    this.log.logWithdrawal(call);
    if (!call.isRunning) {
      session.scheduler.cancel(job);
      this.removeCall(call);
      return;
    }
    // A non-idempotent request is not aborted once it has started.
    if (offer.isIdempotent) controller.abort('cancelled');
  }

  private handleLinkClose(link: RelayLink): void {
    const connection = this.connections.get(link);
    if (!connection) return;
    connection.close();
    for (const call of [...connection.calls.values()]) this.cancel(call);
    this.connections.delete(link);
  }

  private addCall(call: Call): void {
    this.connections.get(call.link)?.calls.set(call.offer.callId, call);
    this.callCount += 1;
  }

  private removeCall(call: Call): boolean {
    if (call.isSettled) return false;
    call.isSettled = true;
    this.connections.get(call.link)?.calls.delete(call.offer.callId);
    this.callCount -= 1;
    if (!call.isRunning) call.bodyHolding?.release();
    return true;
  }
}
