/** The callers' way in: matches a rule and sends the request on its way. */

import type {Route, RuleId, ServiceId} from '@cassiaknot/inventory';
import {findRoute} from '@cassiaknot/inventory';
import {SmoothedMeans, WeightedTurns} from '@cassiaknot/routing';
import {
  DEFAULT_MAX_ATTEMPTS,
  DEFAULT_OBJECTIVE_MS,
  DEFAULT_TIMEOUT_MS,
  DEFAULT_URGENCY,
  UNKNOWN_RETRY_AFTER_MS,
} from './constants.js';
import type {
  CallerRequest,
  EntryContext,
  EntryOptions,
  RoutePlan,
} from './entry_types.js';
import type {DecisionFields} from './observer.js';
import type {RelayOutcome} from './outcome.js';
import {describe, refuse} from './outcome.js';
import {RoutedRequest} from './routed_request.js';

const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'OPTIONS',
  'PUT',
  'DELETE',
  'TRACE',
]);

const PART = 'entry';

/** What became of a request, and what decided it. */
interface RoutedOutcome {
  readonly outcome: RelayOutcome;
  readonly progress: DecisionFields;
}

/** Routes requests. */
export class Entry implements EntryContext {
  private readonly turns = new WeakMap<Route, WeightedTurns<ServiceId>>();
  /** Run times by route over all targets. */
  readonly usualRuns = new SmoothedMeans<RuleId>();

  constructor(readonly options: EntryOptions) {}

  /** Routes one request and tells what became of it. */
  async handle(request: CallerRequest): Promise<RelayOutcome> {
    const {outcome, progress} = await this.route(request);
    this.report(request, outcome, progress);
    return outcome;
  }

  private async route(request: CallerRequest): Promise<RoutedOutcome> {
    const mayRoute = await this.options.mayRoute();
    const {state, routes} = this.options.getConfiguration();
    if (state.version === 0 || !mayRoute) {
      const outcome = refuse('no-configuration', UNKNOWN_RETRY_AFTER_MS);
      return {outcome, progress: {version: state.version, mayRoute}};
    }
    const question = request.path.indexOf('?');
    const path = question < 0 ? request.path : request.path.slice(0, question);
    const {method, host} = request;
    const route = findRoute(routes, {method, path, host});
    const {version} = state;
    if (!route) return {outcome: refuse('no-route', 0), progress: {version}};
    const plan = this.planRoute(route, request, version);
    if (!plan) {
      const outcome = refuse('no-target', UNKNOWN_RETRY_AFTER_MS);
      return {outcome, progress: {version, ruleId: route.rule.id}};
    }
    this.options.retryWindow.recordRequest(plan.serviceId, performance.now());
    const routed = new RoutedRequest(this, request, plan);
    const outcome = await routed.run();
    return {outcome, progress: routed.describeProgress()};
  }

  private report(
    request: CallerRequest,
    outcome: RelayOutcome,
    progress: DecisionFields,
  ): void {
    const isNotable = outcome.kind !== 'answered';
    this.options.observer.decide(
      isNotable ? 'warn' : 'info',
      PART,
      outcome.kind,
      {
        requestId: request.requestId,
        ...describe(outcome),
        ...progress,
        path: request.path,
        deadlineMs: request.deadlineMs,
        tookMs: Math.round(performance.now() - request.receivedAtMs),
      },
    );
  }

  private planRoute(
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
    let turns = this.turns.get(route);
    if (!turns) {
      const options = split.map(part => ({
        value: part.serviceId,
        weight: part.weight,
      }));
      turns = new WeightedTurns(options, this.options.random());
      this.turns.set(route, turns);
    }
    return turns.next();
  }
}
