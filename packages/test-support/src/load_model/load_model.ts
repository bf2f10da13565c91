/**
 * Simulates load on the production entries and gates of a fleet. A fake clock
 * replaces real time, and in-memory links replace sockets and processes; routing
 * and admission decisions are those of the real code. Protection against requests
 * that crash targets is left out.
 */

import {SeededRandom} from '@cassiaknot/coordination';
import type {InstanceId} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import type {GateAddress} from '@cassiaknot/peer-protocol';
import type {
  CallerRequest,
  RelayObserver,
  RelayOutcome,
} from '@cassiaknot/relay';
import {SWEEP_INTERVAL_MS} from '@cassiaknot/relay';
import {SlidingRetryBudget} from '@cassiaknot/routing';
import type {Clock} from '@sinonjs/fake-timers';
import {newConfiguration, toKey, toMember} from './model_configuration.js';
import {ModelledInstance} from './modelled_instance.js';
import type {
  RequestCounts,
  DownstreamCall,
  RequestKind,
  LoadScenario,
  TargetSpec,
  WorkspaceSpec,
} from './types.js';

const MS_PER_SECOND = 1_000;
/** One-way network delay inside a data centre. */
const LOCAL_ONE_WAY_DELAY_MS = 0.2;
/** Time for links to open before the load starts. */
const LINK_SETUP_MS = 200;
/** Callers wait for Retry-After up to this share of their remaining deadline. */
const MAX_RETRY_DELAY_SHARE = 1 / 3;
const RETRY_BUDGET = {windowMs: 10_000, ratio: 0.2, allowance: 60};
const OBSERVER: RelayObserver = {
  log: () => undefined,
  count: () => undefined,
  measure: () => undefined,
};

/** A request on its way to a first target. */
interface UnarrivedRequest {
  reachedAtMs: number | undefined;
}

/** One simulation run. */
export class LoadModel {
  private readonly countsByKind = new Map<string, RequestCounts>();
  private readonly countsByWorkspace = new Map<string, RequestCounts>();
  private readonly instances: ModelledInstance[] = [];
  private readonly dataCentreByInstance = new Map<string, string>();
  /** Gate that answered each request, by request id. */
  private readonly answeringGates = new Map<string, string>();
  private readonly random: SeededRandom;
  private requestCount = 0;
  /** When a caller first sent each request that has not reached a target yet. */
  private readonly unarrived = new Map<string, UnarrivedRequest>();
  private readonly arrivalsByTarget = new Map<TargetSpec, number>();
  private startedAtMs = 0;

  constructor(
    private readonly scenario: LoadScenario,
    seed: number,
    private readonly clock: Clock,
  ) {
    this.random = new SeededRandom(seed);
    const configuration = newConfiguration(scenario);
    for (const target of scenario.targets) {
      this.dataCentreByInstance.set(target.instanceId, target.dataCentreId);
      const instance = new ModelledInstance(target, {
        configuration,
        seed,
        memberCount: scenario.targets.length,
        retryBudget: new SlidingRetryBudget(RETRY_BUDGET),
        random: () => this.random.next(),
        observer: {...OBSERVER, log: this.recordAnsweringGate.bind(this)},
        recordArrival: this.recordArrival.bind(this),
        findKind: path => this.findKind(path.split('/')[1] ?? ''),
        findGate: address => this.findGate(target, address),
        call: this.handleDownstreamCall.bind(this),
      });
      this.instances.push(instance);
    }
  }

  /** Runs the scenario and returns the counts by request kind. */
  async run(): Promise<ReadonlyMap<string, RequestCounts>> {
    const members = this.scenario.targets.map(toMember);
    for (const instance of this.instances) {
      instance.announce();
      instance.directory.setMembers(members);
      setInterval(() => instance.sweep(), SWEEP_INTERVAL_MS);
    }
    await this.clock.tickAsync(LINK_SETUP_MS);
    const startedAtMs = performance.now();
    this.startedAtMs = startedAtMs;
    for (const kind of this.scenario.kinds) {
      this.countsByKind.set(kind.name, newRequestCounts());
      if (kind.perSecond > 0) this.scheduleArrival(kind, startedAtMs);
    }
    const longestDeadlineMs = Math.max(
      ...this.scenario.kinds.map(k => k.deadlineMs),
    );
    await this.clock.tickAsync(this.scenario.lengthMs + longestDeadlineMs);
    return this.countsByKind;
  }

  /** Returns the ratio of the busiest target to the mean, by service. */
  getImbalance(): ReadonlyMap<string, number> {
    const arrivals = new Map<string, number[]>();
    for (const target of this.scenario.targets) {
      const counts = arrivals.get(target.serviceId) ?? [];
      counts.push(this.arrivalsByTarget.get(target) ?? 0);
      arrivals.set(target.serviceId, counts);
    }
    const ratios = new Map<string, number>();
    for (const [serviceId, counts] of arrivals) {
      const sum = counts.reduce((total, count) => total + count, 0);
      ratios.set(serviceId, (Math.max(...counts) * counts.length) / sum);
    }
    return ratios;
  }

  private recordArrival(target: TargetSpec, path: string): void {
    const count = this.arrivalsByTarget.get(target) ?? 0;
    this.arrivalsByTarget.set(target, count + 1);
    const requestId = path.split('/')[2] ?? '';
    const request = this.unarrived.get(requestId);
    if (!request) return;
    this.unarrived.delete(requestId);
    request.reachedAtMs = performance.now();
  }

  /** Returns the counts by workspace. */
  getWorkspaceCounts(): ReadonlyMap<string, RequestCounts> {
    return this.countsByWorkspace;
  }

  private scheduleArrival(kind: RequestKind, startedAtMs: number): void {
    const elapsedMs = performance.now() - startedAtMs;
    if (elapsedMs >= this.scenario.lengthMs) return;
    const perSecond = kind.perSecond * this.getBurstFactor(elapsedMs);
    const interArrivalMs =
      (-Math.log(1 - this.random.next()) * MS_PER_SECOND) / perSecond;
    setTimeout(() => {
      void this.handleArrival(kind);
      this.scheduleArrival(kind, startedAtMs);
    }, interArrivalMs);
  }

  private getBurstFactor(elapsedMs: number): number {
    let factor = 1;
    for (const burst of this.scenario.bursts) {
      const isActive = elapsedMs >= burst.fromMs && elapsedMs < burst.untilMs;
      if (isActive) factor *= burst.factor;
    }
    return factor;
  }

  private async handleArrival(kind: RequestKind): Promise<void> {
    const instance = this.pickInstance();
    if (!instance) return;
    const workspace = this.pickWorkspace();
    if (workspace) {
      await this.followRetryAfter(kind, workspace);
      return;
    }
    this.getCounts(kind).offered += 1;
    const arrivedAtMs = performance.now();
    const progress: UnarrivedRequest = {reachedAtMs: undefined};
    const deadlineAtMs = arrivedAtMs + kind.deadlineMs;
    let outcome = await this.send(instance, kind, kind.deadlineMs, {progress});
    if (outcome.kind === 'refused') {
      this.getCounts(kind).refusedAttempts += 1;
      const remainingMs = deadlineAtMs - performance.now();
      const retryDelayMs = Math.min(
        outcome.retryAfterMs,
        MAX_RETRY_DELAY_SHARE * remainingMs,
      );
      await new Promise(resolve => setTimeout(resolve, retryDelayMs));
      const retryDeadlineMs = deadlineAtMs - performance.now();
      outcome = await this.send(instance, kind, retryDeadlineMs, {progress});
    }
    const reachedAtMs = progress.reachedAtMs ?? Infinity;
    if (reachedAtMs - arrivedAtMs > kind.objectiveMs / 2) {
      this.getCounts(kind).slowToTarget += 1;
    }
    this.recordOutcome(kind, outcome, performance.now() - arrivedAtMs);
  }

  // The demand of each data centre follows a sine around its share of the instances.
  private pickInstance(): ModelledInstance | undefined {
    const {wave} = this.scenario;
    const {instances, random} = this;
    for (;;) {
      const instance = instances[Math.floor(random.next() * instances.length)];
      if (!wave || !instance) return instance;
      const ids = [...new Set(this.dataCentreByInstance.values())];
      const index = ids.indexOf(instance.target.dataCentreId);
      const elapsedMs = performance.now() - this.startedAtMs;
      const turns = elapsedMs / wave.periodMs + index / ids.length;
      const demand = 1 + wave.share * Math.sin(2 * Math.PI * turns);
      if (random.next() * (1 + wave.share) < demand) return instance;
    }
  }

  private async followRetryAfter(
    kind: RequestKind,
    workspace: WorkspaceSpec,
  ): Promise<void> {
    const allCounts = [this.getCounts(kind), this.getWorkspace(workspace)];
    for (const counts of allCounts) counts.offered += 1;
    const arrivedAtMs = performance.now();
    const deadlineAtMs = arrivedAtMs + kind.deadlineMs;
    const key = toKey(workspace);
    const requestId = this.newRequestId();
    for (;;) {
      const instance = this.pickInstance();
      if (!instance) return;
      const remainingMs = deadlineAtMs - performance.now();
      const sent = {key, requestId};
      const outcome = await this.send(instance, kind, remainingMs, sent);
      const nowMs = performance.now();
      if (outcome.kind === 'refused') {
        for (const counts of allCounts) counts.refusedAttempts += 1;
        if (nowMs + outcome.retryAfterMs < deadlineAtMs) {
          const {retryAfterMs} = outcome;
          await new Promise(resolve => setTimeout(resolve, retryAfterMs));
          continue;
        }
      }
      for (const counts of allCounts) {
        addOutcome(counts, kind, outcome, nowMs - arrivedAtMs);
      }
      return;
    }
  }

  private pickWorkspace(): WorkspaceSpec | undefined {
    const {workspaces} = this.scenario;
    if (!workspaces) return undefined;
    const sum = workspaces.reduce((total, {weight}) => total + weight, 0);
    let left = this.random.next() * sum;
    return workspaces.find(({weight}) => {
      left -= weight;
      return left < 0;
    });
  }

  private newRequestId(): string {
    this.requestCount += 1;
    return String(this.requestCount);
  }

  private async handleDownstreamCall(
    target: TargetSpec,
    call: DownstreamCall,
    remainingMs: number,
  ): Promise<boolean> {
    const kind = this.findKind(call.kindName);
    const instance = this.findInstance(target.instanceId);
    this.getCounts(kind).offered += 1;
    const startedAtMs = performance.now();
    const timeoutMs = Math.min(remainingMs, kind.deadlineMs);
    const progress: UnarrivedRequest = {reachedAtMs: undefined};
    const outcome = await this.send(instance, kind, timeoutMs, {progress});
    const reachedAtMs = progress.reachedAtMs ?? Infinity;
    if (reachedAtMs - startedAtMs > kind.objectiveMs / 2) {
      this.getCounts(kind).slowToTarget += 1;
    }
    this.recordOutcome(kind, outcome, performance.now() - startedAtMs);
    return isSuccess(outcome);
  }

  private async send(
    instance: ModelledInstance,
    kind: RequestKind,
    timeoutMs: number,
    sent: {
      readonly key?: string;
      readonly requestId?: string;
      readonly progress?: UnarrivedRequest;
    } = {},
  ): Promise<RelayOutcome> {
    const {key, requestId = this.newRequestId(), progress} = sent;
    if (progress && progress.reachedAtMs === undefined) {
      this.unarrived.set(requestId, progress);
    }
    const request: CallerRequest = {
      requestId,
      method: kind.isIdempotent ? 'GET' : 'POST',
      host: '',
      path: `/${kind.name}/${requestId}`,
      headers: [],
      body: new Uint8Array(),
      key,
      timeoutMs,
      receivedAtMs: performance.now(),
      signal: new AbortController().signal,
      serveUntilMs: Infinity,
    };
    const outcome = await instance.entry.handle(request);
    this.unarrived.delete(requestId);
    const gate = this.answeringGates.get(requestId) ?? '';
    this.answeringGates.delete(requestId);
    const isRemote =
      this.dataCentreByInstance.get(gate) !== instance.target.dataCentreId;
    if (isSuccess(outcome) && isRemote) this.getCounts(kind).remote += 1;
    return outcome;
  }

  private recordOutcome(
    kind: RequestKind,
    outcome: RelayOutcome,
    durationMs: number,
  ): void {
    addOutcome(this.getCounts(kind), kind, outcome, durationMs);
  }

  private getWorkspace({id}: WorkspaceSpec): RequestCounts {
    let counts = this.countsByWorkspace.get(id);
    if (!counts) {
      counts = newRequestCounts();
      this.countsByWorkspace.set(id, counts);
    }
    return counts;
  }

  private recordAnsweringGate(
    ...[, component, event, fields]: Parameters<RelayObserver['log']>
  ): void {
    if (component === 'gate' && event === 'refused') {
      const kind = this.findKind(String(fields['ruleId']));
      this.getCounts(kind).refusedOffers += 1;
    }
    if (event !== 'answered') return;
    this.answeringGates.set(
      String(fields['requestId']),
      String(fields['gate']),
    );
  }

  private findGate(
    from: TargetSpec,
    address: GateAddress,
  ): {instance: ModelledInstance; oneWayDelayMs: number} {
    const instance = this.findInstance(brandId<InstanceId>(address));
    const isLocal = instance.target.dataCentreId === from.dataCentreId;
    const oneWayDelayMs = isLocal
      ? LOCAL_ONE_WAY_DELAY_MS
      : this.scenario.oneWayDelayMs;
    return {instance, oneWayDelayMs};
  }

  private findInstance(instanceId: InstanceId): ModelledInstance {
    for (const instance of this.instances) {
      if (instance.target.instanceId === instanceId) return instance;
    }
    throw new Error(`unknown instance ${instanceId}`);
  }

  private findKind(name: string): RequestKind {
    for (const kind of this.scenario.kinds) {
      if (kind.name === name) return kind;
    }
    throw new Error(`unknown request kind ${name}`);
  }

  private getCounts(kind: RequestKind): RequestCounts {
    const counts = this.countsByKind.get(kind.name);
    if (!counts) throw new Error(`no counts for request kind ${kind.name}`);
    return counts;
  }
}

function isSuccess(outcome: RelayOutcome): boolean {
  return outcome.kind === 'answered' && outcome.statusCode === 200;
}

function addOutcome(
  counts: RequestCounts,
  kind: RequestKind,
  outcome: RelayOutcome,
  durationMs: number,
): void {
  if (outcome.kind === 'refused') counts.refused += 1;
  else if (!isSuccess(outcome)) counts.failed += 1;
  else if (durationMs <= kind.objectiveMs) counts.inTime += 1;
  else counts.late += 1;
}

function newRequestCounts(): RequestCounts {
  return {
    offered: 0,
    inTime: 0,
    late: 0,
    refused: 0,
    refusedAttempts: 0,
    failed: 0,
    remote: 0,
    slowToTarget: 0,
    refusedOffers: 0,
  };
}
