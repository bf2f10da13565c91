/**
 * Plays a load against the real entries and gates of a fleet on a paused clock:
 * no sockets, no processes, the same decisions.
 */

import type {PublishedConfiguration} from '@cassiaknot/coordination';
import {SeededRandom} from '@cassiaknot/coordination';
import type {InstanceId, InventoryRecord} from '@cassiaknot/inventory';
import {
  RECORD_SCHEMA,
  brandId,
  compileRouteTable,
  newStateFromRecords,
} from '@cassiaknot/inventory';
import type {
  GateAddress,
  MemberRecord,
  PeerAddress,
} from '@cassiaknot/peer-protocol';
import type {
  CallerRequest,
  RelayObserver,
  RelayOutcome,
} from '@cassiaknot/relay';
import {SWEEP_INTERVAL_MS} from '@cassiaknot/relay';
import {RetryWindow} from '@cassiaknot/routing';
import type {Clock} from '@sinonjs/fake-timers';
import {ModelledInstance} from './modelled_instance.js';
import type {
  KindResult,
  ModelCall,
  ModelKind,
  ModelScenario,
  ModelTarget,
} from './types.js';

const MS_PER_SECOND = 1_000;
/** Way inside a data centre. */
const LOCAL_WAY_MS = 0.2;
/** Time for the links to open before the load begins. */
const SETTLE_MS = 200;
/** Callers honour a time to return up to this part of what they have left. */
const RETURN_SHARE = 1 / 3;
const MAX_ATTEMPTS = 2;
const RETRY_WINDOW = {windowMs: 10_000, ratio: 0.2, allowance: 60};
const OBSERVER: RelayObserver = {
  decide: () => undefined,
  count: () => undefined,
  measure: () => undefined,
};

/** One play. */
export class LoadModel {
  private readonly results = new Map<string, KindResult>();
  private readonly instances: ModelledInstance[] = [];
  private readonly dataCentres = new Map<string, string>();
  /** Gate that answered each request. */
  private readonly gates = new Map<string, string>();
  private readonly random: SeededRandom;
  private requestCount = 0;

  constructor(
    private readonly scenario: ModelScenario,
    seed: number,
    private readonly clock: Clock,
  ) {
    this.random = new SeededRandom(seed);
    const configuration = newConfiguration(scenario);
    for (const target of scenario.targets) {
      this.dataCentres.set(target.instanceId, target.dataCentreId);
      const instance = new ModelledInstance(target, {
        configuration,
        seed,
        memberCount: scenario.targets.length,
        retryWindow: new RetryWindow(RETRY_WINDOW),
        random: () => this.random.next(),
        observer: {...OBSERVER, decide: this.noteGate.bind(this)},
        findKind: path => this.findKind(path.split('/')[1] ?? ''),
        findGate: address => this.findGate(target, address),
        call: this.call.bind(this),
      });
      this.instances.push(instance);
    }
  }

  /** Plays the scenario and returns the results by kind. */
  async play(): Promise<ReadonlyMap<string, KindResult>> {
    const members = this.scenario.targets.map(toMember);
    for (const instance of this.instances) {
      instance.announce();
      instance.directory.setMembers(members);
      setInterval(() => instance.sweep(), SWEEP_INTERVAL_MS);
    }
    await this.clock.tickAsync(SETTLE_MS);
    const beganMs = performance.now();
    for (const kind of this.scenario.kinds) {
      this.results.set(kind.name, newResult());
      if (kind.perSecond > 0) this.scheduleArrival(kind, beganMs);
    }
    const longestMs = Math.max(...this.scenario.kinds.map(k => k.deadlineMs));
    await this.clock.tickAsync(this.scenario.lengthMs + longestMs);
    return this.results;
  }

  private scheduleArrival(kind: ModelKind, beganMs: number): void {
    const elapsedMs = performance.now() - beganMs;
    if (elapsedMs >= this.scenario.lengthMs) return;
    const perSecond = kind.perSecond * this.getBurstFactor(elapsedMs);
    const gapMs =
      (-Math.log(1 - this.random.next()) * MS_PER_SECOND) / perSecond;
    setTimeout(() => {
      void this.arrive(kind);
      this.scheduleArrival(kind, beganMs);
    }, gapMs);
  }

  private getBurstFactor(elapsedMs: number): number {
    let factor = 1;
    for (const burst of this.scenario.bursts) {
      const isNow = elapsedMs >= burst.fromMs && elapsedMs < burst.untilMs;
      if (isNow) factor *= burst.factor;
    }
    return factor;
  }

  private async arrive(kind: ModelKind): Promise<void> {
    const index = Math.floor(this.random.next() * this.instances.length);
    const instance = this.instances[index];
    if (!instance) return;
    this.getResult(kind).offered += 1;
    const arrivedAtMs = performance.now();
    const deadlineAtMs = arrivedAtMs + kind.deadlineMs;
    let outcome = await this.send(instance, kind, kind.deadlineMs);
    if (outcome.kind === 'refused') {
      const leftMs = deadlineAtMs - performance.now();
      const returnMs = Math.min(outcome.retryAfterMs, RETURN_SHARE * leftMs);
      await new Promise(resolve => setTimeout(resolve, returnMs));
      const againMs = deadlineAtMs - performance.now();
      outcome = await this.send(instance, kind, againMs);
    }
    this.record(kind, outcome, performance.now() - arrivedAtMs);
  }

  private async call(
    target: ModelTarget,
    call: ModelCall,
    leftMs: number,
  ): Promise<boolean> {
    const kind = this.findKind(call.kindName);
    const instance = this.findInstance(target.instanceId);
    this.getResult(kind).offered += 1;
    const beganMs = performance.now();
    const deadlineMs = Math.min(leftMs, kind.deadlineMs);
    const outcome = await this.send(instance, kind, deadlineMs);
    this.record(kind, outcome, performance.now() - beganMs);
    return isSuccess(outcome);
  }

  private async send(
    instance: ModelledInstance,
    kind: ModelKind,
    deadlineMs: number,
  ): Promise<RelayOutcome> {
    this.requestCount += 1;
    const requestId = String(this.requestCount);
    const request: CallerRequest = {
      requestId,
      method: kind.isIdempotent ? 'GET' : 'POST',
      host: '',
      path: `/${kind.name}/${requestId}`,
      headers: [],
      body: new Uint8Array(),
      deadlineMs,
      receivedAtMs: performance.now(),
      signal: new AbortController().signal,
    };
    const outcome = await instance.entry.handle(request);
    const gate = this.gates.get(requestId) ?? '';
    this.gates.delete(requestId);
    const isRemote =
      this.dataCentres.get(gate) !== instance.target.dataCentreId;
    if (isSuccess(outcome) && isRemote) this.getResult(kind).remote += 1;
    return outcome;
  }

  private record(kind: ModelKind, outcome: RelayOutcome, tookMs: number): void {
    const result = this.getResult(kind);
    if (outcome.kind === 'refused') result.refused += 1;
    else if (!isSuccess(outcome)) result.failed += 1;
    else if (tookMs <= kind.objectiveMs) result.inTime += 1;
    else result.late += 1;
  }

  private noteGate(
    ...[, , event, fields]: Parameters<RelayObserver['decide']>
  ): void {
    if (event !== 'answered') return;
    this.gates.set(String(fields['requestId']), String(fields['gate']));
  }

  private findGate(
    from: ModelTarget,
    address: GateAddress,
  ): {instance: ModelledInstance; wayMs: number} {
    const instance = this.findInstance(brandId<InstanceId>(address));
    const isLocal = instance.target.dataCentreId === from.dataCentreId;
    const wayMs = isLocal ? LOCAL_WAY_MS : this.scenario.oneWayMs;
    return {instance, wayMs};
  }

  private findInstance(instanceId: InstanceId): ModelledInstance {
    for (const instance of this.instances) {
      if (instance.target.instanceId === instanceId) return instance;
    }
    throw new Error(`no instance ${instanceId}`);
  }

  private findKind(name: string): ModelKind {
    for (const kind of this.scenario.kinds) {
      if (kind.name === name) return kind;
    }
    throw new Error(`no kind ${name}`);
  }

  private getResult(kind: ModelKind): KindResult {
    const result = this.results.get(kind.name);
    if (!result) throw new Error(`no result of ${kind.name}`);
    return result;
  }
}

function isSuccess(outcome: RelayOutcome): boolean {
  return outcome.kind === 'answered' && outcome.statusCode === 200;
}

function newResult(): KindResult {
  return {offered: 0, inTime: 0, late: 0, refused: 0, failed: 0, remote: 0};
}

function toMember(target: ModelTarget): MemberRecord {
  const {instanceId, dataCentreId} = target;
  return {
    instanceId,
    dataCentreId,
    incarnation: 1,
    state: 'serving',
    peerAddress: brandId<PeerAddress>(instanceId),
    gateAddress: brandId<GateAddress>(instanceId),
    heldVersion: 1,
  };
}

function newConfiguration(scenario: ModelScenario): PublishedConfiguration {
  const dataCentreIds = [...new Set(scenario.targets.map(t => t.dataCentreId))];
  const serviceIds = [...new Set(scenario.targets.map(t => t.serviceId))];
  const records: InventoryRecord[] = [
    {kind: 'owner', id: 'o', contact: 'c'},
    ...dataCentreIds.map(id => ({kind: 'data-centre', id, region: 'r'})),
    ...serviceIds.map(id => ({
      kind: 'service',
      id,
      ownerId: 'o',
      dataCentreIds,
    })),
    ...scenario.kinds.map(toRule),
  ].map(record => RECORD_SCHEMA.parse(record));
  const state = newStateFromRecords(1, records);
  return {state, routes: compileRouteTable(state)};
}

function toRule(kind: ModelKind): unknown {
  return {
    kind: 'rule',
    id: kind.name,
    serviceId: kind.serviceId,
    pathPrefix: `/${kind.name}/`,
    isIdempotent: kind.isIdempotent,
    maxAttempts: MAX_ATTEMPTS,
    timeoutMs: kind.deadlineMs,
    latencyObjectiveMs: kind.objectiveMs,
    urgency: kind.urgency,
  };
}
