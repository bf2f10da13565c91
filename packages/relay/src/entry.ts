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
import type {RelayOutcome} from './outcome.js';
import {refuse} from './outcome.js';
import {RoutedRequest} from './routed_request.js';

const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'OPTIONS',
  'PUT',
  'DELETE',
  'TRACE',
]);

/** Routes requests. */
export class Entry implements EntryContext {
  private readonly turns = new WeakMap<Route, WeightedTurns<ServiceId>>();
  /** Run times by route over all targets. */
  readonly usualRuns = new SmoothedMeans<RuleId>();

  constructor(readonly options: EntryOptions) {}

  /** Routes one request and tells what became of it. */
  async handle(request: CallerRequest): Promise<RelayOutcome> {
    const mayRoute = await this.options.mayRoute();
    const {state, routes} = this.options.getConfiguration();
    if (state.version === 0 || !mayRoute) {
      return refuse('no-configuration', UNKNOWN_RETRY_AFTER_MS);
    }
    const question = request.path.indexOf('?');
    const path = question < 0 ? request.path : request.path.slice(0, question);
    const {method, host} = request;
    const route = findRoute(routes, {method, path, host});
    if (!route) return refuse('no-route', 0);
    const plan = this.planRoute(route, request, state.version);
    if (!plan) return refuse('no-target', UNKNOWN_RETRY_AFTER_MS);
    this.options.retryWindow.recordRequest(plan.serviceId, performance.now());
    return new RoutedRequest(this, request, plan).run();
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
