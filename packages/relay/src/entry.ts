/**
 * The callers' way in: matches a rule, chooses a target, and sends a request
 * once more where that can't run it twice.
 */

import type {PublishedConfiguration} from '@cassiaknot/coordination';
import type {Route, RuleId, ServiceId} from '@cassiaknot/inventory';
import {findRoute} from '@cassiaknot/inventory';
import type {RelayFrameOf} from '@cassiaknot/peer-protocol';
import type {RetryWindow} from '@cassiaknot/routing';
import {
  INITIAL_WORK_SHARE,
  SmoothedMeans,
  WeightedTurns,
  rankTargets,
} from '@cassiaknot/routing';
import {
  BOUNDED_WAIT_SHARE,
  DEFAULT_MAX_ATTEMPTS,
  DEFAULT_OBJECTIVE_MS,
  DEFAULT_TIMEOUT_MS,
  DEFAULT_URGENCY,
  MAX_BOUNDED_OFFERS,
  MIN_RETRY_AFTER_MS,
  UNKNOWN_RETRY_AFTER_MS,
} from './constants.js';
import type {GateDirectory} from './gate_directory.js';
import type {GateLink, GateReply, PendingCall} from './gate_link.js';
import type {RelayObserver} from './observer.js';
import type {LossReason, RefusalReason, RelayOutcome} from './outcome.js';
import {toRefusalReason} from './outcome.js';

/** A request as a caller made it, with its whole body. */
export interface CallerRequest {
  readonly requestId: string;
  readonly method: string;
  /** Host without the port, in lower case. */
  readonly host: string;
  /** Path and query. */
  readonly path: string;
  /** Alternating names and values that are passed on. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Time that the caller waits, from `receivedAtMs` on. */
  readonly deadlineMs: number | undefined;
  readonly receivedAtMs: number;
  /** Aborted when the caller leaves. */
  readonly signal: AbortSignal;
}

/** Collaborators of an {@link Entry}. */
export interface EntryOptions {
  readonly getConfiguration: () => PublishedConfiguration;
  /** Whether the configuration may be routed by; waits during a check. */
  readonly mayRoute: () => boolean | Promise<boolean>;
  readonly directory: GateDirectory;
  readonly retryWindow: RetryWindow<ServiceId>;
  readonly getMemberCount: () => number;
  /** Service on whose behalf requests from this machine are made. */
  readonly getCallerServiceId: () => string;
  readonly observer: RelayObserver;
  readonly random: () => number;
}

/** How one route is served; defaults are filled in. */
interface RoutePlan {
  readonly ruleId: RuleId;
  readonly serviceId: ServiceId;
  readonly isIdempotent: boolean;
  readonly timeoutMs: number;
  readonly objectiveMs: number;
  readonly maxAttempts: number;
  readonly urgency: number;
  readonly version: number;
}

const PART = 'entry';
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'OPTIONS',
  'PUT',
  'DELETE',
  'TRACE',
]);
const RETRIED_LOSSES: ReadonlySet<LossReason> = new Set([
  'link-lost',
  'link-silent',
  'target-lost',
  'target-silent',
  'answer-cut',
  'answer-foreign',
]);
/** Parts of the retry budget that repeats may use, by what they follow. */
const LOSS_REPEAT_SHARE = 0.5;
const FAILURE_REPEAT_SHARE = 0.25;
/** First status of failures of the target itself. */
const SERVER_FAILURE_STATUS = 500;
const GATEWAY_TIMEOUT_STATUS = 504;

/** Routes requests. */
export class Entry {
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

/** One request on its way. */
class RoutedRequest {
  private readonly tried = new Set<GateLink>();
  /** Gates that refused for load, with the wait that they told. */
  private readonly busy = new Map<GateLink, number>();
  private readonly deadlineAtMs: number;
  private arrivals = 0;
  private offers = 0;
  private current: {link: GateLink; call: PendingCall} | undefined;
  private lastRefusal: RefusalReason = 'no-target';
  private isOver = false;
  private hasAskedUnbounded = false;

  constructor(
    private readonly entry: Entry,
    private readonly request: CallerRequest,
    private readonly plan: RoutePlan,
  ) {
    const limitMs = Math.min(
      request.deadlineMs ?? plan.timeoutMs,
      plan.timeoutMs,
    );
    this.deadlineAtMs = request.receivedAtMs + limitMs;
  }

  async run(): Promise<RelayOutcome> {
    let stop: (outcome: RelayOutcome) => void = () => undefined;
    const stopped = new Promise<RelayOutcome>(resolve => {
      stop = resolve;
    });
    const timer = setTimeout(
      () => stop(this.getTimeoutOutcome()),
      Math.max(0, this.getRemainingMs()),
    );
    const handleAbort = () => stop({kind: 'lost', reason: 'cancelled'});
    const {signal} = this.request;
    signal.addEventListener('abort', handleAbort, {once: true});
    if (signal.aborted) handleAbort();
    const outcome = await Promise.race([this.attemptAll(), stopped]);
    this.isOver = true;
    clearTimeout(timer);
    signal.removeEventListener('abort', handleAbort);
    this.current?.link.cancel(this.current.call.callId);
    return outcome;
  }

  private async attemptAll(): Promise<RelayOutcome> {
    let fallback: RelayOutcome | undefined;
    for (;;) {
      const choice = this.choose();
      if (!choice) return fallback ?? this.refuse();
      const reply = await this.attempt(choice.link, choice.maxWaitMs);
      if (!reply) continue;
      const outcome = this.judge(choice.link, reply);
      if (!outcome) continue;
      // A refusal here says nothing about an earlier run elsewhere.
      if (outcome.kind !== 'refused' || !fallback) fallback = outcome;
      if (!this.mayRepeat(outcome)) return fallback;
      this.report('repeat', choice.link, describe(outcome));
    }
  }

  private choose(): {link: GateLink; maxWaitMs: number} | undefined {
    const {plan, entry} = this;
    const remainingMs = this.getRemainingMs();
    if (this.isOver || remainingMs <= 0) return undefined;
    if (this.offers < MAX_BOUNDED_OFFERS) {
      const estimates = entry.options.directory
        .findAccepting(plan.serviceId)
        .filter(link => !this.tried.has(link))
        .map(link => link.estimate(plan.ruleId));
      const {objectiveMs} = plan;
      const usualRunMs =
        entry.usualRuns.get(plan.ruleId) ?? objectiveMs * INITIAL_WORK_SHARE;
      const [best] = rankTargets(estimates, {usualRunMs, objectiveMs});
      if (best) {
        const maxWaitMs =
          estimates.length === 1 && this.busy.size === 0
            ? remainingMs
            : BOUNDED_WAIT_SHARE * objectiveMs;
        return {link: best.target, maxWaitMs};
      }
    }
    if (this.hasAskedUnbounded) return undefined;
    this.hasAskedUnbounded = true;
    const link = this.findLeastBusy();
    return link && {link, maxWaitMs: remainingMs};
  }

  private findLeastBusy(): GateLink | undefined {
    let best: GateLink | undefined;
    let bestWaitMs = Infinity;
    for (const [link, waitMs] of this.busy) {
      if (waitMs >= bestWaitMs || !link.getTarget()?.isAccepting) continue;
      best = link;
      bestWaitMs = waitMs;
    }
    return best;
  }

  private async attempt(
    link: GateLink,
    maxWaitMs: number,
  ): Promise<GateReply | undefined> {
    const {plan, request, entry} = this;
    this.tried.add(link);
    this.offers += 1;
    // An offer into a dead link could neither be taken back nor repeated.
    if (!plan.isIdempotent && !link.isFresh() && !(await link.verify())) {
      this.lastRefusal = 'link-unverified';
      this.report('unverified', link, {});
      return undefined;
    }
    if (this.isOver) return undefined;
    const call = link.offer({
      requestId: request.requestId,
      serviceId: plan.serviceId,
      ruleId: plan.ruleId,
      method: request.method,
      path: request.path,
      headers: [...request.headers],
      body: request.body,
      callerServiceId: entry.options.getCallerServiceId(),
      remainingMs: Math.max(0, this.getRemainingMs()),
      maxWaitMs,
      objectiveMs: plan.objectiveMs,
      objectiveLeftMs:
        request.receivedAtMs + plan.objectiveMs - performance.now(),
      urgency: plan.urgency,
      isIdempotent: plan.isIdempotent,
    });
    this.current = {link, call};
    const reply = await call.reply;
    this.current = undefined;
    return reply;
  }

  /** Returns the outcome, or undefined where the next gate is to be asked. */
  private judge(link: GateLink, reply: GateReply): RelayOutcome | undefined {
    switch (reply.kind) {
      case 'answer':
        return this.judgeAnswer(link, reply);
      case 'refusal':
        return this.judgeRefusal(link, reply);
      case 'loss':
        this.arrivals += 1;
        link.recordOutcome(true);
        return {kind: 'lost', reason: reply.reason};
    }
  }

  private judgeAnswer(
    link: GateLink,
    reply: RelayFrameOf<'answer'>,
  ): RelayOutcome {
    const {statusCode, headers, body, runMs} = reply;
    const {ruleId} = this.plan;
    this.arrivals += 1;
    link.recordOutcome(statusCode >= SERVER_FAILURE_STATUS);
    link.learnRun(ruleId, runMs);
    if (runMs >= 0) this.entry.usualRuns.record(ruleId, runMs);
    return {kind: 'answered', statusCode, headers, body};
  }

  private judgeRefusal(
    link: GateLink,
    reply: RelayFrameOf<'refusal'>,
  ): RelayOutcome | undefined {
    const reason = toRefusalReason(reply.reason);
    this.lastRefusal = reason;
    if (reason === 'quarantined') return this.refuse();
    if (reason === 'overloaded') this.busy.set(link, reply.waitMs);
    if (!reply.hasArrived) return undefined;
    // The target itself refused: this counts as an arrival there.
    this.arrivals += 1;
    link.recordOutcome(true);
    return this.refuse();
  }

  private mayRepeat(outcome: RelayOutcome): boolean {
    if (!this.isRepeatable(outcome)) return false;
    const {plan, entry} = this;
    const {observer, retryWindow, getMemberCount} = entry.options;
    if (this.arrivals >= plan.maxAttempts) return false;
    const usualRunMs = entry.usualRuns.get(plan.ruleId) ?? 0;
    if (this.getRemainingMs() <= usualRunMs) {
      observer.count('retry-denied', 'deadline');
      return false;
    }
    const nowMs = performance.now();
    const memberCount = getMemberCount();
    // A target's own failure often comes from a call that it made, which a
    // repeat would make again; so such repeats get the smaller share.
    const share =
      outcome.kind === 'answered' ? FAILURE_REPEAT_SHARE : LOSS_REPEAT_SHARE;
    const {serviceId} = plan;
    if (!retryWindow.trySpend({serviceId, memberCount, share, nowMs})) {
      observer.count('retry-denied', 'budget');
      return false;
    }
    const {reason} = describe(outcome);
    observer.count('retried', String(reason));
    return true;
  }

  private isRepeatable(outcome: RelayOutcome): boolean {
    switch (outcome.kind) {
      case 'answered':
        return (
          this.plan.isIdempotent &&
          outcome.statusCode >= SERVER_FAILURE_STATUS &&
          outcome.statusCode !== GATEWAY_TIMEOUT_STATUS
        );
      case 'refused':
        return outcome.reason === 'target-refused';
      case 'lost':
        return this.plan.isIdempotent && RETRIED_LOSSES.has(outcome.reason);
    }
  }

  private refuse(): RelayOutcome {
    const reason = this.lastRefusal;
    if (reason !== 'overloaded') return refuse(reason, UNKNOWN_RETRY_AFTER_MS);
    let waitMs = Infinity;
    for (const link of this.tried) {
      waitMs = Math.min(waitMs, link.estimate(this.plan.ruleId).reportedWaitMs);
    }
    // Those refused together should not come back together.
    const spread = 0.5 + this.entry.options.random();
    return refuse(reason, Math.max(MIN_RETRY_AFTER_MS, waitMs * spread));
  }

  // Nothing was offered to a gate that could still run it: it was not run.
  private getTimeoutOutcome(): RelayOutcome {
    if (this.arrivals === 0 && !this.current) {
      return refuse('deadline', MIN_RETRY_AFTER_MS);
    }
    return {kind: 'lost', reason: 'timeout'};
  }

  private getRemainingMs(): number {
    return this.deadlineAtMs - performance.now();
  }

  private report(
    event: string,
    link: GateLink,
    fields: Readonly<Record<string, string | number>>,
  ): void {
    const {requestId} = this.request;
    const {serviceId, version, ruleId} = this.plan;
    this.entry.options.observer.decide('info', PART, event, {
      requestId,
      gate: link.instanceId,
      serviceId,
      ruleId,
      version,
      arrivals: this.arrivals,
      remainingMs: Math.round(this.getRemainingMs()),
      ...fields,
    });
  }
}

function refuse(reason: RefusalReason, retryAfterMs: number): RelayOutcome {
  return {kind: 'refused', reason, retryAfterMs};
}

/** Names what decided an outcome, for logs and counters. */
export function describe(
  outcome: RelayOutcome,
): Readonly<Record<string, string | number>> {
  switch (outcome.kind) {
    case 'answered':
      return {reason: `status-${outcome.statusCode}`};
    case 'refused':
      return {
        reason: outcome.reason,
        retryAfterMs: Math.round(outcome.retryAfterMs),
      };
    case 'lost':
      return {reason: outcome.reason};
  }
}
