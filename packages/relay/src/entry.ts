/** Entry point for callers: matches a request to a rule and routes it. */

import type {
  Route,
  RuleId,
  ServiceId,
  WorkspaceRecord,
} from '@cassiaknot/inventory';
import {
  findRoute,
  getRuleServiceIds,
  hasWorkspaces,
} from '@cassiaknot/inventory';
import {KeyedEwma, ServiceLoad, WeightedRoundRobin} from '@cassiaknot/routing';
import {combineUrgency, dropHeaders, identifyCaller} from './authentication.js';
import {
  DEFAULT_MAX_ATTEMPTS,
  DEFAULT_OBJECTIVE_MS,
  DEFAULT_TIMEOUT_MS,
  DEFAULT_URGENCY,
  MIN_RETRY_AFTER_MS,
  RETRY_AFTER_MS,
} from './constants.js';
import type {
  CallerRequest,
  EntryContext,
  QuotaAdmission,
  RelayEntryOptions,
  RoutePlan,
} from './entry_types.js';
import type {LogFields} from './observer.js';
import type {RelayOutcome} from './outcome.js';
import {describeOutcome, newRefusal} from './outcome.js';
import type {PastRefusals} from './repeated_requests.js';
import {RepeatedRequests} from './repeated_requests.js';
import {RoutedRequest} from './routed_request.js';

const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'OPTIONS',
  'PUT',
  'DELETE',
  'TRACE',
]);

const COMPONENT = 'entry';
/** Time for which a service is expected to send further responses without a length. */
const UNFRAMED_RESPONSE_TTL_MS = 60_000;

/** Outcome of a request, with the fields logged alongside it. */
interface RoutedOutcome {
  readonly outcome: RelayOutcome;
  readonly fields: LogFields;
}

/** Routes requests from local callers to gates. */
export class RelayEntry implements EntryContext {
  private readonly roundRobins = new WeakMap<
    Route,
    WeightedRoundRobin<ServiceId>
  >();
  /** Mean run time of each route over all targets. */
  readonly runTimes = new KeyedEwma<RuleId>();
  /** Services whose targets have sent responses without a length, until a time. */
  private readonly unframedUntilMs = new Map<ServiceId, number>();

  private readonly serviceLoads = new Map<ServiceId, ServiceLoad<RuleId>>();
  private readonly repeatedRequests = new RepeatedRequests();

  constructor(readonly options: RelayEntryOptions) {}

  getServiceLoad(serviceId: ServiceId): ServiceLoad<RuleId> {
    let load = this.serviceLoads.get(serviceId);
    if (!load) {
      load = new ServiceLoad();
      this.serviceLoads.set(serviceId, load);
    }
    return load;
  }

  /**
   * Whether a request may be passed on beside others of its connection: repeating it
   * is safe, and its response is not expected to close the connection.
   */
  mayOverlap(
    request: Pick<CallerRequest, 'method' | 'host' | 'path'>,
  ): boolean {
    const route = this.findRoute(request);
    if (!route) return false;
    const {rule} = route;
    if (!isIdempotent(rule, request.method)) return false;
    const nowMs = performance.now();
    for (const serviceId of getRuleServiceIds(rule)) {
      const expiresAtMs = this.unframedUntilMs.get(serviceId) ?? -Infinity;
      if (nowMs < expiresAtMs) return false;
    }
    return true;
  }

  /** Routes one request, logs its outcome and returns it. */
  async handle(request: CallerRequest): Promise<RelayOutcome> {
    const past = this.recordArrival(request);
    const {outcome, fields} = await this.route(request);
    this.recordRepeat(request, past, outcome);
    const pastRefusals = past?.count;
    this.logOutcome(request, outcome, {...fields, pastRefusals});
    return outcome;
  }

  private recordArrival({requestId}: CallerRequest): PastRefusals | undefined {
    const past = this.repeatedRequests.find(requestId, performance.now());
    if (past) this.options.observer.count('repeated', past.lastReason);
    return past;
  }

  private recordRepeat(
    {requestId}: CallerRequest,
    past: PastRefusals | undefined,
    outcome: RelayOutcome,
  ): void {
    if (outcome.kind !== 'refused') {
      if (past) this.repeatedRequests.forget(requestId);
      return;
    }
    const {reason} = outcome;
    if (past) this.options.observer.count('refused-again', reason);
    this.repeatedRequests.recordRefusal(requestId, reason, performance.now());
  }

  private async route(request: CallerRequest): Promise<RoutedOutcome> {
    const mayRoute = await this.options.mayRoute();
    const {state, workspaces} = this.options.getConfiguration();
    if (state.version === 0 || !mayRoute) {
      const outcome = newRefusal('no-configuration', RETRY_AFTER_MS);
      return {outcome, fields: {version: state.version, mayRoute}};
    }
    const route = this.findRoute(request);
    const {version} = state;
    if (!route) {
      return {outcome: this.refuseUnknown('no-route'), fields: {version}};
    }
    const identity = identifyCaller(workspaces, route.rule, request.key);
    const {workspace, keyState} = identity;
    if (!identity.isAdmitted) {
      const outcome = this.refuseUnknown('unknown-key');
      return {outcome, fields: {version, ruleId: route.rule.id, keyState}};
    }
    const plan = this.resolvePlan(route, request, version, workspace);
    if (!plan) {
      const outcome = newRefusal('no-target', RETRY_AFTER_MS);
      return {outcome, fields: {version, ruleId: route.rule.id}};
    }
    if (request.signal.aborted) {
      const outcome: RelayOutcome = {kind: 'lost', reason: 'cancelled'};
      return {outcome, fields: {version, ruleId: route.rule.id}};
    }
    const admission = await this.admit(plan);
    if (!admission.isAdmitted) return refuseOverQuota(plan, admission);
    const forwarded = hasWorkspaces(workspaces)
      ? this.dropWorkspaceHeaders(request)
      : request;
    const routed = await this.routeAdmitted(forwarded, plan);
    const isUnused = routed.outcome.kind === 'refused';
    if (isUnused) this.releasePermit(plan, admission);
    return routed;
  }

  // Without a limit there is no promise to wait for.
  private admit(plan: RoutePlan): QuotaAdmission | Promise<QuotaAdmission> {
    const {workspace} = plan;
    const {quotaGate} = this.options;
    if (!workspace || !quotaGate) return {isAdmitted: true};
    return quotaGate.acquire(workspace, performance.now());
  }

  private releasePermit(
    {workspace}: RoutePlan,
    {permitExpiresAtMs}: Extract<QuotaAdmission, {isAdmitted: true}>,
  ): void {
    if (!workspace || permitExpiresAtMs === undefined) return;
    const nowMs = performance.now();
    this.options.quotaGate?.release(workspace, permitExpiresAtMs, nowMs);
  }

  private async routeAdmitted(
    request: CallerRequest,
    plan: RoutePlan,
  ): Promise<RoutedOutcome> {
    this.options.retryBudget.recordRequest(plan.serviceId, performance.now());
    const routed = new RoutedRequest(this, request, plan);
    if (!routed.endsBefore(request.serveUntilMs)) {
      // The caller can go elsewhere at once; this process is about to end.
      const outcome = newRefusal('stopping', MIN_RETRY_AFTER_MS);
      return {outcome, fields: routed.getLogFields()};
    }
    const outcome = await routed.run();
    if (outcome.kind === 'answered' && !outcome.isFramed) {
      const untilMs = performance.now() + UNFRAMED_RESPONSE_TTL_MS;
      this.unframedUntilMs.set(plan.serviceId, untilMs);
    }
    return {outcome, fields: routed.getLogFields()};
  }

  // The newer version may have the route or the key.
  private refuseUnknown(reason: 'no-route' | 'unknown-key'): RelayOutcome {
    return this.options.hasNewerVersion()
      ? newRefusal('version-behind', RETRY_AFTER_MS)
      : newRefusal(reason, 0);
  }

  private dropWorkspaceHeaders(request: CallerRequest): CallerRequest {
    const {workspaceRequestHeaders} = this.options;
    const headers = dropHeaders(request.headers, workspaceRequestHeaders);
    return {...request, headers};
  }

  private findRoute({
    method,
    host,
    path,
  }: Pick<CallerRequest, 'method' | 'host' | 'path'>): Route | undefined {
    const {routes} = this.options.getConfiguration();
    const queryStart = path.indexOf('?');
    const pathOnly = queryStart < 0 ? path : path.slice(0, queryStart);
    return findRoute(routes, {method, path: pathOnly, host});
  }

  private logOutcome(
    request: CallerRequest,
    outcome: RelayOutcome,
    fields: LogFields,
  ): void {
    const isFailure = outcome.kind !== 'answered';
    this.options.observer.log(
      isFailure ? 'warn' : 'info',
      COMPONENT,
      outcome.kind,
      {
        requestId: request.requestId,
        ...describeOutcome(outcome),
        ...fields,
        path: request.path,
        deadlineMs: request.timeoutMs,
        tookMs: Math.round(performance.now() - request.receivedAtMs),
      },
    );
  }

  protected resolvePlan(
    route: Route,
    request: CallerRequest,
    version: number,
    workspace: WorkspaceRecord | undefined,
  ): RoutePlan | undefined {
    const {rule} = route;
    const serviceId = this.chooseService(route);
    if (serviceId === undefined) return undefined;
    return {
      ruleId: rule.id,
      serviceId,
      isIdempotent: isIdempotent(rule, request.method),
      timeoutMs: rule.timeoutMs ?? DEFAULT_TIMEOUT_MS,
      objectiveMs: rule.latencyObjectiveMs ?? DEFAULT_OBJECTIVE_MS,
      maxAttempts: rule.maxAttempts ?? DEFAULT_MAX_ATTEMPTS,
      urgency: combineUrgency(workspace, rule.urgency ?? DEFAULT_URGENCY),
      version,
      workspace,
    };
  }

  private chooseService(route: Route): ServiceId | undefined {
    const {split, serviceId} = route.rule;
    if (!split) return serviceId;
    let roundRobin = this.roundRobins.get(route);
    if (!roundRobin) {
      const options = split.map(share => ({
        value: share.serviceId,
        weight: share.weight,
      }));
      roundRobin = new WeightedRoundRobin(options, this.options.random());
      this.roundRobins.set(route, roundRobin);
    }
    return roundRobin.next();
  }
}

function refuseOverQuota(
  plan: RoutePlan,
  refusal: Extract<QuotaAdmission, {isAdmitted: false}>,
): RoutedOutcome {
  const {version, ruleId, workspace} = plan;
  return {
    outcome: newRefusal('over-quota', refusal.retryAfterMs),
    fields: {version, ruleId, workspaceId: workspace?.id, ...refusal.details},
  };
}

function isIdempotent(rule: Route['rule'], method: string): boolean {
  return rule.isIdempotent ?? IDEMPOTENT_METHODS.has(method);
}
