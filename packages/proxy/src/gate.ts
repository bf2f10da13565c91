/**
 * The only way to a target. Slots, queue, drain and claims are exact here, and
 * a refusal here is certain: the request was not run.
 */

import type {InstanceId, ServiceId, ServiceRecord} from '@cassiaknot/inventory';
import type {Fingerprint} from '@cassiaknot/peer-protocol';
import type {ClaimKeeper, HeldClaim} from './claims/claims.js';
import type {Deadline} from './deadline.js';
import {computeFingerprint} from '@cassiaknot/coordination';
import {isIdempotentMethod} from './methods.js';
import type {Answered, Outcome} from './outcome.js';
import {notRun, unknown} from './outcome.js';
import type {TargetOutcome} from './target_client.js';
import type {TargetRegistry} from './target_registry.js';
import type {TargetSession} from './target_session.js';

/** A request as it reaches a gate, with its whole body. */
export interface GateRequest {
  /** Instance that the entry chose. */
  readonly instanceId: InstanceId;
  readonly serviceId: ServiceId;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Alternating names and values, as the target gets them. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly idempotencyKey: string | undefined;
  /** Whether the entry saw a target crash with this request in flight. */
  readonly isSuspect: boolean;
  readonly deadline: Deadline;
}

/** Knowledge about requests that crash targets. */
export interface CrashWatch {
  judge(fingerprint: Fingerprint): 'clear' | 'suspect' | 'quarantined';
  /** Records a crash with the request in flight. */
  reportCrash(
    serviceId: ServiceId,
    fingerprint: Fingerprint,
    ranAlone: boolean,
  ): void;
  /** Records that the request ran to its end. */
  acquit(fingerprint: Fingerprint): void;
}

/** Collaborators of a {@link Gate}. */
export interface GateOptions {
  readonly instanceId: InstanceId;
  readonly targets: TargetRegistry;
  readonly claims: ClaimKeeper;
  readonly crashWatch: CrashWatch;
  readonly findService: (id: ServiceId) => ServiceRecord | undefined;
}

/** One admitted run of a request. */
interface Run {
  readonly request: GateRequest;
  readonly session: TargetSession;
  readonly fingerprint: Fingerprint;
  readonly ranAlone: boolean;
  readonly claim: HeldClaim | undefined;
}

/** Admits requests to the target and judges what became of them. */
export class Gate {
  constructor(private readonly options: GateOptions) {}

  /** Requests running and waiting, as the entries see the load. */
  getLoad(): number {
    const queue = this.options.targets.getSession()?.queue;
    if (!queue) return 0;
    return queue.getRunningCount() + queue.getWaitingCount();
  }

  /** Runs a request, or tells why it was not run. */
  async handle(request: GateRequest): Promise<Outcome> {
    const {instanceId, targets, crashWatch} = this.options;
    if (request.instanceId !== instanceId) return notRun('wrong-instance');
    const session = targets.getSession();
    if (!session) return notRun('target-gone');
    if (session.announcement.serviceId !== request.serviceId) {
      return notRun('wrong-instance');
    }
    const {serviceId, method, path, body} = request;
    const fingerprint = computeFingerprint(serviceId, method, path, body);
    const verdict = crashWatch.judge(fingerprint);
    if (verdict === 'quarantined') return notRun('quarantined');
    const ranAlone = verdict === 'suspect' || request.isSuspect;
    return this.admit(request, session, fingerprint, ranAlone);
  }

  private async admit(
    request: GateRequest,
    session: TargetSession,
    fingerprint: Fingerprint,
    ranAlone: boolean,
  ): Promise<Outcome> {
    const {deadline} = request;
    const slot = await session.queue.acquire({deadline, alone: ranAlone});
    if (slot.kind === 'refused') return notRun(slot.reason);
    const run = {request, session, fingerprint, ranAlone, claim: undefined};
    const outcome = await this.runClaimed(run);
    const rest = outcome.kind === 'answered' ? outcome.answer.rest : undefined;
    if (rest) rest.once('close', () => slot.release());
    else slot.release();
    return outcome;
  }

  private async runClaimed(run: Run): Promise<Outcome> {
    const {request, fingerprint} = run;
    const {serviceId, idempotencyKey, deadline} = request;
    if (idempotencyKey === undefined || isIdempotentMethod(request.method)) {
      return this.runOnce(run);
    }
    const decision = await this.options.claims.claim({
      serviceId,
      idempotencyKey,
      fingerprint,
      deadline,
    });
    switch (decision.kind) {
      case 'claimed':
        return this.runOnce({...run, claim: decision.claim});
      case 'replay':
        return {kind: 'answered', answer: decision.answer, targetTimeUs: 0};
      case 'refused':
        return notRun(decision.reason);
      case 'unknown':
        return unknown(decision.reason);
    }
  }

  private async runOnce(run: Run): Promise<Outcome> {
    const {deadline} = run.request;
    if (deadline.getRemainingMs() <= 0) {
      run.claim?.release();
      const isCancelled = deadline.getAbortReason() === 'cancelled';
      return notRun(isCancelled ? 'cancelled' : 'deadline');
    }
    // The target may have gone or begun to drain since the slot was granted.
    if (!run.session.isOpen()) {
      run.claim?.release();
      return notRun('target-gone');
    }
    const outcome = await run.session.client.send(run.request);
    return this.settle(run, outcome);
  }

  private settle(run: Run, outcome: TargetOutcome): Outcome {
    switch (outcome.kind) {
      case 'answered':
        return this.settleAnswer(run, outcome);
      case 'not-run':
        run.claim?.release();
        this.options.targets.markGone(run.session);
        return notRun(outcome.reason);
      case 'unknown':
        if (outcome.reason === 'target-lost') this.reportCrash(run);
        return unknown(outcome.reason);
    }
  }

  private settleAnswer(run: Run, answered: Answered): Outcome {
    const service = this.options.findService(run.request.serviceId);
    const {statusCode, rest} = answered.answer;
    if (service?.shedStatuses.includes(statusCode)) {
      run.claim?.release();
      rest?.destroy();
      return notRun('target-shed');
    }
    run.claim?.finish(answered.answer);
    if (run.ranAlone) this.options.crashWatch.acquit(run.fingerprint);
    return answered;
  }

  private reportCrash(run: Run): void {
    const {serviceId} = run.request;
    const {fingerprint, ranAlone} = run;
    this.options.crashWatch.reportCrash(serviceId, fingerprint, ranAlone);
  }
}
