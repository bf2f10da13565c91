/**
 * The callers' way in: matches a rule, chooses a target, and retries where
 * that can't run a request twice. Nothing below an entry retries.
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
import {MAX_ATTEMPTS, MAX_DEPTH} from './constants.js';
import type {Deadline} from './deadline.js';
import type {GateClient} from './gate_client.js';
import type {GateHealth} from './gate_health.js';
import {isIdempotentMethod} from './methods.js';
import type {ProxyMeter, RetryReason} from './meter.js';
import type {NotRunReason, Outcome, UnknownReason} from './outcome.js';
import {notRun} from './outcome.js';

/** What an entry reads of the control plane; nothing here waits. */
export interface ControlPlane {
  isReady(): boolean;
  /** Whether requests may be routed shortly, after a pause. */
  isVerifying(): boolean;
  whenReady(): Promise<void>;
  getConfiguration(): PublishedConfiguration;
  getMembership(): MembershipView;
}

/** A request as a caller made it, with its whole body. */
export interface EntryRequest {
  readonly route: RouteQuery;
  /** Path and query. */
  readonly path: string;
  /** Alternating names and values that are passed on. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly depth: number;
  /** Whether a caller further up is retrying. */
  readonly isRetry: boolean;
  /** Makes the deadline once the service is known. */
  readonly startDeadline: (service: ServiceRecord) => Deadline;
}

/** Collaborators of an {@link Entry}. */
export interface EntryOptions {
  readonly controlPlane: ControlPlane;
  readonly balancer: Balancer;
  readonly gates: GateClient;
  readonly health: GateHealth;
  readonly retryBudget: RetryBudget;
  readonly meter: ProxyMeter;
}

/** Outcomes after which another target may well run the request. */
const RETRIED_NOT_RUN: ReadonlySet<NotRunReason> = new Set([
  'connect-failed',
  'wrong-instance',
  'draining',
  'target-gone',
  'target-shed',
  'queue-full',
  'claim-limited',
]);
/** Outcomes after which an idempotent request may be sent again. */
const RETRIED_UNKNOWN: ReadonlySet<UnknownReason> = new Set([
  'gate-lost',
  'target-lost',
  'answer-cut',
]);

/** Routes requests. */
export class Entry {
  constructor(private readonly options: EntryOptions) {}

  /** Routes one request and tells what became of it. */
  async handle(request: EntryRequest): Promise<Outcome> {
    const {controlPlane, retryBudget} = this.options;
    if (request.depth >= MAX_DEPTH) return notRun('too-deep');
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

/** The attempts at one request. */
class RoutedRequest {
  private readonly tried = new Set<InstanceId>();
  private isSuspect = false;
  /** Outcome of an earlier attempt that may have run the request. */
  private unknownBefore: Outcome | undefined;

  constructor(
    private readonly options: EntryOptions,
    private readonly request: EntryRequest,
    private readonly service: ServiceRecord,
    private readonly deadline: Deadline,
  ) {}

  async run(): Promise<Outcome> {
    let member = this.chooseMember();
    if (!member) return notRun('no-target');
    for (;;) {
      const outcome = await this.attempt(member);
      const reason = this.getRetryReason(outcome);
      if (reason === undefined) return this.settle(outcome);
      if (outcome.kind === 'unknown') this.unknownBefore = outcome;
      const next = this.chooseMember();
      if (!next || !this.mayRetry()) {
        if (!next) this.options.meter.countRetryRefused('no-other-target');
        return this.settle(outcome);
      }
      this.options.meter.countRetry(reason);
      this.isSuspect ||= reason === 'target-lost';
      member = next;
    }
  }

  // A refusal of the last attempt says nothing about an earlier one.
  private settle(outcome: Outcome): Outcome {
    if (outcome.kind !== 'not-run') return outcome;
    return this.unknownBefore ?? outcome;
  }

  private async attempt(member: MemberRecord): Promise<Outcome> {
    const {gates, health} = this.options;
    const {request, service, deadline, isSuspect} = this;
    const {instanceId} = member;
    const isRetry = request.isRetry || this.tried.size > 0;
    this.tried.add(instanceId);
    health.recordStart(instanceId);
    const reply = await gates.call({
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
    health.recordEnd(instanceId, reply);
    return reply.outcome;
  }

  private getRetryReason(outcome: Outcome): RetryReason | undefined {
    switch (outcome.kind) {
      case 'answered':
        return undefined;
      case 'not-run':
        return RETRIED_NOT_RUN.has(outcome.reason) ? outcome.reason : undefined;
      case 'unknown':
        if (!isIdempotentMethod(this.request.route.method)) return undefined;
        return RETRIED_UNKNOWN.has(outcome.reason) ? outcome.reason : undefined;
    }
  }

  private mayRetry(): boolean {
    const {meter, retryBudget} = this.options;
    if (this.request.isRetry) {
      meter.countRetryRefused('nested');
      return false;
    }
    if (this.tried.size >= MAX_ATTEMPTS) {
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
      tried: this.tried,
    });
  }
}
