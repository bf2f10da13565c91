/**
 * Admission control in front of one target. All requests to the target pass
 * through its gate, which therefore knows the exact numbers of running and
 * queued requests and enforces slots, queue limit, drain and claims. A request
 * that the gate refuses was certainly not executed.
 */

import type {InstanceId, ServiceId, ServiceRecord} from '@cassiaknot/inventory';
import type {Fingerprint} from '@cassiaknot/peer-protocol';
import type {ClaimRegistry, HeldClaim} from './claims/claims.js';
import type {Deadline} from './deadline.js';
import {computeFingerprint} from '@cassiaknot/coordination';
import {isIdempotentMethod} from './methods.js';
import type {ProxyOutcome} from './outcome.js';
import {notRun, unknown} from './outcome.js';
import type {TargetOutcome} from './target_client.js';
import type {TargetRegistry} from './target_registry.js';
import type {ProxyTargetSession} from './target_session.js';

/** A request received by a gate, with its complete body. */
export interface GateRequest {
  /** Instance that the entry picked. */
  readonly instanceId: InstanceId;
  readonly serviceId: ServiceId;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Alternating names and values of the headers sent to the target. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly idempotencyKey: string | undefined;
  /** Whether the entry saw a target crash with this request in flight. */
  readonly isSuspect: boolean;
  readonly deadline: Deadline;
}

/** Tracks requests that crash targets, by fingerprint. */
export interface CrashTracker {
  /** Returns how to run a request: a suspect exclusively, quarantined never. */
  getStatus(fingerprint: Fingerprint): 'clear' | 'suspect' | 'quarantined';
  /** Records that a target crashed with the request in flight. */
  reportCrash(
    serviceId: ServiceId,
    fingerprint: Fingerprint,
    ranExclusively: boolean,
  ): void;
  /** Records that the request completed without a crash. */
  clear(fingerprint: Fingerprint): void;
}

/** Dependencies of a {@link ProxyGate}. */
export interface ProxyGateOptions {
  readonly instanceId: InstanceId;
  readonly targets: TargetRegistry;
  readonly claims: ClaimRegistry;
  readonly crashTracker: CrashTracker;
  readonly findService: (id: ServiceId) => ServiceRecord | undefined;
}

/** An admitted request, which holds a slot. */
interface AdmittedCall {
  readonly request: GateRequest;
  readonly session: ProxyTargetSession;
  readonly fingerprint: Fingerprint;
  readonly isExclusive: boolean;
  readonly claim: HeldClaim | undefined;
}

/** Admits requests to the target and classifies their outcomes. */
export class ProxyGate {
  constructor(private readonly options: ProxyGateOptions) {}

  /** Number of requests running and waiting, reported to entries as load. */
  getLoad(): number {
    const queue = this.options.targets.getSession()?.queue;
    if (!queue) return 0;
    return queue.getRunningCount() + queue.getWaitingCount();
  }

  /** Forwards a request to the target, or returns why it was refused. */
  async handle(request: GateRequest): Promise<ProxyOutcome> {
    const {instanceId, targets, crashTracker} = this.options;
    if (request.instanceId !== instanceId) return notRun('wrong-instance');
    const session = targets.getSession();
    if (!session) return notRun('target-gone');
    if (session.announcement.serviceId !== request.serviceId) {
      return notRun('wrong-instance');
    }
    const {serviceId, method, path, body} = request;
    const fingerprint = computeFingerprint(serviceId, method, path, body);
    const status = crashTracker.getStatus(fingerprint);
    if (status === 'quarantined') return notRun('quarantined');
    const isExclusive = status === 'suspect' || request.isSuspect;
    return this.admit(request, session, fingerprint, isExclusive);
  }

  private async admit(
    request: GateRequest,
    session: ProxyTargetSession,
    fingerprint: Fingerprint,
    isExclusive: boolean,
  ): Promise<ProxyOutcome> {
    const {deadline} = request;
    const slot = await session.queue.acquire({
      deadline,
      isExclusive,
    });
    if (slot.kind === 'refused') return notRun(slot.reason);
    const call = {
      request,
      session,
      fingerprint,
      isExclusive,
      claim: undefined,
    };
    const outcome = await this.runWithClaim(call);
    const remainingBody =
      outcome.kind === 'answered' ? outcome.response.remainingBody : undefined;
    if (remainingBody) remainingBody.once('close', () => slot.release());
    else slot.release();
    return outcome;
  }

  private async runWithClaim(call: AdmittedCall): Promise<ProxyOutcome> {
    const {request, fingerprint} = call;
    const {serviceId, idempotencyKey, deadline} = request;
    if (idempotencyKey === undefined || isIdempotentMethod(request.method)) {
      return this.forward(call);
    }
    const decision = await this.options.claims.claim({
      serviceId,
      idempotencyKey,
      fingerprint,
      deadline,
    });
    switch (decision.kind) {
      case 'claimed':
        return this.forward({...call, claim: decision.claim});
      case 'replay':
        return {kind: 'answered', response: decision.response, targetTimeUs: 0};
      case 'refused':
        return notRun(decision.reason);
      case 'unknown':
        return unknown(decision.reason);
    }
  }

  private async forward(call: AdmittedCall): Promise<ProxyOutcome> {
    const {deadline} = call.request;
    if (deadline.getRemainingMs() <= 0) {
      call.claim?.release();
      const isCancelled = deadline.getAbortReason() === 'cancelled';
      return notRun(isCancelled ? 'cancelled' : 'deadline');
    }
    // The target may have gone or begun to drain since the slot was granted.
    if (!call.session.isOpen()) {
      call.claim?.release();
      return notRun('target-gone');
    }
    const {request, session} = call;
    const service = this.options.findService(request.serviceId);
    const refusalStatuses = service?.shedStatuses ?? [];
    const outcome = await session.client.send({...request, refusalStatuses});
    return this.handleTargetOutcome(call, outcome);
  }

  private handleTargetOutcome(
    call: AdmittedCall,
    outcome: TargetOutcome,
  ): ProxyOutcome {
    switch (outcome.kind) {
      case 'answered':
        call.claim?.finish(outcome.response);
        if (call.isExclusive) this.options.crashTracker.clear(call.fingerprint);
        return outcome;
      case 'not-run':
        call.claim?.release();
        if (outcome.reason === 'connect-failed') {
          this.options.targets.handleConnectFailure(call.session);
        }
        return notRun(outcome.reason);
      case 'unknown':
        if (outcome.reason === 'target-lost') this.reportCrash(call);
        return unknown(outcome.reason);
    }
  }

  private reportCrash(call: AdmittedCall): void {
    const {serviceId} = call.request;
    const {fingerprint, isExclusive} = call;
    this.options.crashTracker.reportCrash(serviceId, fingerprint, isExclusive);
  }
}
