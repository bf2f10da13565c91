/**
 * Ingress of the request path: matches a routing rule, picks a target, and
 * retries a request that was certainly not executed or whose method is
 * idempotent. Gates never retry.
 */

import type {RouteQuery, ServiceRecord} from '@cassiaknot/inventory';
import {findRoute} from '@cassiaknot/inventory';
import type {InstanceId} from '@cassiaknot/inventory';
import type {
  MembershipView,
  PublishedConfiguration,
  RetryBudget,
} from '@cassiaknot/coordination';
import type {MemberRecord} from '@cassiaknot/peer-protocol';
import type {Balancer} from './balancer.js';
import {MAX_ATTEMPTS, MAX_CALL_DEPTH} from './constants.js';
import type {Deadline} from './deadline.js';
import type {GateClient} from './gate_client.js';
import type {GateHealth} from './gate_health.js';
import {isIdempotentMethod} from './methods.js';
import type {ProxyMeter, RetryReason} from './meter.js';
import type {NotRunReason, ProxyOutcome, UnknownReason} from './outcome.js';
import {notRun} from './outcome.js';

/** Control-plane state that an entry reads; only `whenReady` waits. */
export interface ControlPlane {
  isReady(): boolean;
  /** Whether readiness is being re-verified after a pause of the process. */
  isVerifying(): boolean;
  whenReady(): Promise<void>;
  getConfiguration(): PublishedConfiguration;
  getMembership(): MembershipView;
}

/** A caller's request with its complete body. */
export interface EntryRequest {
  readonly route: RouteQuery;
  /** Path and query. */
  readonly path: string;
  /** Alternating names and values of the headers to forward. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Number of calls above this one in a chain of nested calls. */
  readonly depth: number;
  /** Whether an entry earlier in the chain of calls is retrying. */
  readonly isRetry: boolean;
  /** Starts the deadline once the service, and so its timeout, is known. */
  readonly startDeadline: (service: ServiceRecord) => Deadline;
}

/** Dependencies of a {@link ProxyEntry}. */
export interface ProxyEntryOptions {
  readonly controlPlane: ControlPlane;
  readonly balancer: Balancer;
  readonly gates: GateClient;
  readonly health: GateHealth;
  readonly retryBudget: RetryBudget;
  readonly meter: ProxyMeter;
}

/**
 * Not-run reasons that concern one target or its daemon; the request is retried
 * on another target.
 */
const RETRYABLE_NOT_RUN_REASONS: ReadonlySet<NotRunReason> = new Set([
  'connect-failed',
  'wrong-instance',
  'draining',
  'target-gone',
  'target-shed',
  'queue-full',
  'claim-limited',
]);
/** Unknown-outcome reasons after which idempotent requests are retried. */
const RETRYABLE_UNKNOWN_REASONS: ReadonlySet<UnknownReason> = new Set([
  'gate-lost',
  'target-lost',
  'answer-cut',
  'answer-foreign',
]);

/** Routes requests to targets through their gates. */
export class ProxyEntry {
  constructor(private readonly options: ProxyEntryOptions) {}

  /** Routes one request and returns its outcome. */
  async handle(request: EntryRequest): Promise<ProxyOutcome> {
    const {controlPlane, retryBudget} = this.options;
    if (request.depth >= MAX_CALL_DEPTH) return notRun('too-deep');
    if (!controlPlane.isReady()) {
      if (!controlPlane.isVerifying()) return notRun('not-ready');
      await controlPlane.whenReady();
    }
    const {routes} = controlPlane.getConfiguration();
    const service = findRoute(routes, request.route)?.service;
    if (!service) return notRun('no-route');
    retryBudget.recordRequest();
    const deadline = request.startDeadline(service);
    return new RoutedRequest(this.options, request, service, deadline).run();
  }
}

/** One routed request with all its attempts. */
class RoutedRequest {
  private readonly attemptedInstances = new Set<InstanceId>();
  private isSuspect = false;
  /** Outcome of the latest attempt that may have executed the request. */
  private earlierUnknownOutcome: ProxyOutcome | undefined;

  constructor(
    private readonly options: ProxyEntryOptions,
    private readonly request: EntryRequest,
    private readonly service: ServiceRecord,
    private readonly deadline: Deadline,
  ) {}

  async run(): Promise<ProxyOutcome> {
    let member = this.chooseMember();
    if (!member) return notRun('no-target');
    for (;;) {
      const outcome = await this.sendAttempt(member);
      const reason = this.getRetryReason(outcome);
      if (reason === undefined) return this.selectFinalOutcome(outcome);
      if (outcome.kind === 'unknown') this.earlierUnknownOutcome = outcome;
      const next = this.chooseMember();
      if (!next || !this.admitRetry()) {
        if (!next) this.options.meter.countRetryRefused('no-other-target');
        return this.selectFinalOutcome(outcome);
      }
      this.options.meter.countRetry(reason);
      this.isSuspect ||= reason === 'target-lost';
      member = next;
    }
  }

  // A refused last attempt doesn't rule out that an earlier one was executed.
  private selectFinalOutcome(outcome: ProxyOutcome): ProxyOutcome {
    if (outcome.kind !== 'not-run') return outcome;
    return this.earlierUnknownOutcome ?? outcome;
  }

  private async sendAttempt(member: MemberRecord): Promise<ProxyOutcome> {
    const {gates, health} = this.options;
    const {request, service, deadline, isSuspect} = this;
    const {instanceId} = member;
    const isRetry = request.isRetry || this.attemptedInstances.size > 0;
    this.attemptedInstances.add(instanceId);
    health.recordStart(instanceId);
    const result = await gates.call({
      instanceId,
      address: member.gateAddress,
      serviceId: service.id,
      method: request.route.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      depth: request.depth + 1,
      isRetry,
      isSuspect,
      deadline,
    });
    health.recordEnd(instanceId, result);
    return result.outcome;
  }

  private getRetryReason(outcome: ProxyOutcome): RetryReason | undefined {
    switch (outcome.kind) {
      case 'answered':
        return undefined;
      case 'not-run':
        return RETRYABLE_NOT_RUN_REASONS.has(outcome.reason)
          ? outcome.reason
          : undefined;
      case 'unknown':
        if (!isIdempotentMethod(this.request.route.method)) return undefined;
        return RETRYABLE_UNKNOWN_REASONS.has(outcome.reason)
          ? outcome.reason
          : undefined;
    }
  }

  private admitRetry(): boolean {
    const {meter, retryBudget} = this.options;
    if (this.request.isRetry) {
      meter.countRetryRefused('nested');
      return false;
    }
    if (this.attemptedInstances.size >= MAX_ATTEMPTS) {
      meter.countRetryRefused('attempts');
      return false;
    }
    if (this.deadline.getRemainingMs() <= 0) {
      meter.countRetryRefused('deadline');
      return false;
    }
    if (retryBudget.trySpend()) return true;
    meter.countRetryRefused('budget');
    return false;
  }

  private chooseMember(): MemberRecord | undefined {
    const {balancer, controlPlane} = this.options;
    return balancer.choose({
      service: this.service,
      membership: controlPlane.getMembership(),
      state: controlPlane.getConfiguration().state,
      attemptedInstances: this.attemptedInstances,
    });
  }
}
