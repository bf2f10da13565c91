/** Entry point for callers: matches a request to a rule and routes it. */

import type {Route, RuleId, ServiceId} from '@cassiaknot/inventory';
import {findRoute} from '@cassiaknot/inventory';
import {KeyedEwma, WeightedRoundRobin} from '@cassiaknot/routing';
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
  RelayEntryOptions,
  RoutePlan,
} from './entry_types.js';
import type {LogFields} from './observer.js';
import type {RelayOutcome} from './outcome.js';
import {describeOutcome, newRefusal} from './outcome.js';
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

  constructor(readonly options: RelayEntryOptions) {}

  /** Routes one request, logs its outcome and returns it. */
  async handle(request: CallerRequest): Promise<RelayOutcome> {
    const {outcome, fields} = await this.route(request);
    this.logOutcome(request, outcome, fields);
    return outcome;
  }

  private async route(request: CallerRequest): Promise<RoutedOutcome> {
    const mayRoute = await this.options.mayRoute();
    const {state, routes} = this.options.getConfiguration();
    if (state.version === 0 || !mayRoute) {
      const outcome = newRefusal('no-configuration', RETRY_AFTER_MS);
      return {outcome, fields: {version: state.version, mayRoute}};
    }
    const queryStart = request.path.indexOf('?');
    const path =
      queryStart < 0 ? request.path : request.path.slice(0, queryStart);
    const {method, host} = request;
    const route = findRoute(routes, {method, path, host});
    const {version} = state;
    if (!route) return {outcome: newRefusal('no-route', 0), fields: {version}};
    const plan = this.resolvePlan(route, request, version);
    if (!plan) {
      const outcome = newRefusal('no-target', RETRY_AFTER_MS);
      return {outcome, fields: {version, ruleId: route.rule.id}};
    }
    if (request.signal.aborted) {
      const outcome: RelayOutcome = {kind: 'lost', reason: 'cancelled'};
      return {outcome, fields: {version, ruleId: route.rule.id}};
    }
    this.options.retryBudget.recordRequest(plan.serviceId, performance.now());
    const routed = new RoutedRequest(this, request, plan);
    if (!routed.endsBefore(request.serveUntilMs)) {
      // The caller can go elsewhere at once; this process is about to end.
      const outcome = newRefusal('stopping', MIN_RETRY_AFTER_MS);
      return {outcome, fields: routed.getLogFields()};
    }
    const outcome = await routed.run();
    return {outcome, fields: routed.getLogFields()};
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

  private resolvePlan(
    route: Route,
    request: CallerRequest,
    version: number,
  ): RoutePlan | undefined {
    const {rule} = route;
    const serviceId = this.chooseService(route);
    if (serviceId === undefined) return undefined;
    return {
      ruleId: rule.id,
      serviceId,
      isIdempotent: rule.isIdempotent ?? IDEMPOTENT_METHODS.has(request.method),
      timeoutMs: rule.timeoutMs ?? DEFAULT_TIMEOUT_MS,
      objectiveMs: rule.latencyObjectiveMs ?? DEFAULT_OBJECTIVE_MS,
      maxAttempts: rule.maxAttempts ?? DEFAULT_MAX_ATTEMPTS,
      urgency: rule.urgency ?? DEFAULT_URGENCY,
      version,
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
