/** A mesh of instances that enforce quotas, on links in memory and a fake clock. */

import type {PublishedConfiguration} from '@cassiaknot/coordination';
import {SeededRandom} from '@cassiaknot/coordination';
import type {
  DataCentreId,
  InstanceId,
  InventoryRecord,
  WorkspaceId,
  WorkspaceRecord,
} from '@cassiaknot/inventory';
import {
  RECORD_SCHEMA,
  brandId,
  compileRouteTable,
  compileWorkspaceIndex,
  newStateFromRecords,
} from '@cassiaknot/inventory';
import type {
  GateAddress,
  MemberRecord,
  PeerAddress,
  RelayLinkEvents,
} from '@cassiaknot/peer-protocol';
import type {QuotaBounds} from '@cassiaknot/routing';
import {SWEEP_INTERVAL_MS} from '../constants.js';
import type {QuotaAdmission} from '../entry_types.js';
import {GateDirectory} from '../gate_directory.js';
import {openLocalLink} from '../local_link.js';
import {MeshQuotas} from '../mesh_quotas.js';
import type {RelayObserver} from '../observer.js';
import {MemoryNetwork} from './memory_network.js';

export const QUOTA_BOUNDS: QuotaBounds = {windowMs: 5_000, overage: 0.1};

/** Interval at which the directories learn again that all instances are members. */
const LISTING_INTERVAL_MS = 1_000;

/** Limit of a workspace. */
export interface TestLimit {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Sizes and conditions of a mesh. */
export interface QuotaMeshOptions {
  readonly dataCentreCount: number;
  readonly instancesPerDataCentre: number;
  /** Limits by workspace. */
  readonly limits: Readonly<Record<string, TestLimit>>;
  readonly seed: number;
}

/** Admission or refusal of one request. */
export interface QuotaEvent {
  readonly workspace: string;
  readonly instance: number;
  readonly sentAtMs: number;
  readonly decidedAtMs: number;
  readonly admission: QuotaAdmission;
}

interface Instance {
  readonly id: InstanceId;
  readonly dataCentreId: DataCentreId;
  configuration: PublishedConfiguration;
  process: {quotas: MeshQuotas; directory: GateDirectory} | undefined;
}

/** Instances with their quotas; the test moves the clock. */
export class QuotaMesh {
  readonly events: QuotaEvent[] = [];
  /** Counted events of all instances, by event and reason. */
  readonly counts = new Map<string, number>();
  readonly network: MemoryNetwork;
  private readonly instances: Instance[] = [];
  private readonly indexes = new Map<InstanceId, number>();
  private readonly random: SeededRandom;
  /** Number of the side on which each instance is; sides don't reach each other. */
  private sides: readonly number[] = [];
  /** Delay of frames beyond the usual one, at most. */
  extraDelayMs = 0;
  /** Share of frames that are lost. */
  lossShare = 0;
  private version = 1;
  private listedAtMs = 0;
  private readonly observer: RelayObserver = {
    log: () => undefined,
    count: (event, reason) => {
      const key = `${event}/${reason}`;
      this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
    },
    measure: () => undefined,
  };

  constructor(private readonly options: QuotaMeshOptions) {
    this.random = new SeededRandom(options.seed);
    const {dataCentreCount, instancesPerDataCentre, limits} = options;
    const configuration = newConfiguration(1, dataCentreCount, limits);
    for (let index = 0; index < dataCentreCount; index += 1) {
      for (let count = 0; count < instancesPerDataCentre; count += 1) {
        this.instances.push({
          id: brandId<InstanceId>(`dc${index}-${count}`),
          dataCentreId: brandId<DataCentreId>(`dc${index}`),
          configuration,
          process: undefined,
        });
      }
    }
    for (const [index, {id}] of this.instances.entries()) {
      this.indexes.set(id, index);
    }
    this.network = new MemoryNetwork({
      isCut: (from, to) => this.getSide(from) !== this.getSide(to),
      getDelayMs: (from, to) => this.getDelayMs(from, to),
    });
  }

  getSize(): number {
    return this.instances.length;
  }

  startAll(): void {
    for (const index of this.instances.keys()) this.start(index);
  }

  start(index: number): void {
    const instance = this.instances[index];
    if (!instance || instance.process) return;
    const {id, dataCentreId} = instance;
    const quotas = new MeshQuotas({
      self: id,
      dataCentreId,
      bounds: QUOTA_BOUNDS,
      getConfiguration: () => instance.configuration,
      getMemberCount: () => this.instances.length,
      observer: this.observer,
      random: () => this.random.next(),
    });
    const events = quotas.wrapGateEvents(newGateEvents());
    this.network.listen(id, events);
    const directory = new GateDirectory({
      self: id,
      dataCentreId,
      dial: (address, linkEvents) =>
        this.network.dial(id, brandId<InstanceId>(address), linkEvents),
      openLocalLink: linkEvents => openLocalLink(linkEvents, events),
      random: new SeededRandom(index + 1),
      observer: this.observer,
      watcher: quotas,
    });
    instance.process = {quotas, directory};
    directory.setMembers(this.instances.map(newMember));
  }

  kill(index: number): void {
    const instance = this.instances[index];
    if (!instance?.process) return;
    instance.process = undefined;
    this.network.stop(instance.id);
  }

  /** Separates the instances into sides; equal numbers reach each other. */
  cut(sides: readonly number[]): void {
    this.sides = sides;
    this.network.closeCutLinks();
  }

  /** Periodic task of all instances. */
  sweep(): void {
    const isListed = performance.now() - this.listedAtMs >= LISTING_INTERVAL_MS;
    if (isListed) this.listedAtMs = performance.now();
    const members = isListed ? this.instances.map(newMember) : [];
    for (const {process} of this.instances) {
      if (isListed) process?.directory.setMembers(members);
      process?.directory.sweep();
      process?.quotas.sweep();
    }
  }

  /** Changes the limits, at each instance after a delay of its own. */
  setLimits(limits: Readonly<Record<string, TestLimit>>, maxDelayMs = 0): void {
    this.version += 1;
    const {dataCentreCount} = this.options;
    const configuration = newConfiguration(
      this.version,
      dataCentreCount,
      limits,
    );
    for (const instance of this.instances) {
      setTimeout(() => {
        instance.configuration = configuration;
      }, this.random.next() * maxDelayMs);
    }
  }

  /** Sends one request; its decision is added to the events. */
  request(index: number, workspace: string): void {
    const instance = this.instances[index];
    const record = instance && getWorkspace(instance, workspace);
    if (!instance?.process || !record) return;
    const sentAtMs = performance.now();
    const add = (admission: QuotaAdmission) => {
      this.events.push({
        workspace,
        instance: index,
        sentAtMs,
        decidedAtMs: performance.now(),
        admission,
      });
    };
    const decision = instance.process.quotas.acquire(record, sentAtMs);
    if ('isAdmitted' in decision) add(decision);
    else void decision.then(add);
  }

  /** Returns the permit of a request that was admitted and not run. */
  release(event: QuotaEvent): void {
    const instance = this.instances[event.instance];
    const record = instance && getWorkspace(instance, event.workspace);
    const {admission} = event;
    if (!record || !admission.isAdmitted) return;
    instance.process?.quotas.release(
      record,
      admission.permitExpiresAtMs ?? 0,
      performance.now(),
    );
  }

  getNextRandom(): number {
    return this.random.next();
  }

  private getSide(id: InstanceId): number {
    return this.sides[this.indexes.get(id) ?? 0] ?? 0;
  }

  private getDelayMs(from: InstanceId, to: InstanceId): number | undefined {
    if (this.random.next() < this.lossShare) return undefined;
    const isSame = from.split('-')[0] === to.split('-')[0];
    return (isSame ? 1 : 2) + this.random.next() * this.extraDelayMs;
  }
}

/** Moves the clock in steps, and lets the decisions of each step settle. */
export async function advance(
  clock: {tick: (ms: number) => unknown},
  mesh: QuotaMesh,
  durationMs: number,
  onStep: (stepMs: number) => void = () => undefined,
  stepMs = 2,
): Promise<void> {
  const startMs = performance.now();
  let sweptAtMs = startMs;
  while (performance.now() - startMs < durationMs) {
    clock.tick(stepMs);
    if (performance.now() - sweptAtMs >= SWEEP_INTERVAL_MS) {
      sweptAtMs = performance.now();
      mesh.sweep();
    }
    onStep(stepMs);
    for (let count = 0; count < 8; count += 1) await Promise.resolve();
  }
}

function newGateEvents(): RelayLinkEvents {
  return {
    onOpen: link => {
      link.send({
        kind: 'target-state',
        serviceId: 's',
        isAccepting: true,
        slots: 1,
        coldMs: 0,
      });
    },
    onFrame: (link, frame) => {
      if (frame.kind === 'ping') link.send({kind: 'pong', nonce: frame.nonce});
    },
    onClose: () => undefined,
  };
}

function newMember({id, dataCentreId}: Instance): MemberRecord {
  return {
    instanceId: id,
    incarnation: 1,
    state: 'serving',
    dataCentreId,
    peerAddress: brandId<PeerAddress>(id),
    gateAddress: brandId<GateAddress>(id),
    heldVersion: 1,
  };
}

function getWorkspace(
  instance: Instance,
  workspace: string,
): WorkspaceRecord | undefined {
  const {workspaces} = instance.configuration.workspaces;
  return workspaces.get(brandId<WorkspaceId>(workspace));
}

function newConfiguration(
  version: number,
  dataCentreCount: number,
  limits: Readonly<Record<string, TestLimit>>,
): PublishedConfiguration {
  const records: InventoryRecord[] = [];
  for (let index = 0; index < dataCentreCount; index += 1) {
    const id = `dc${index}`;
    records.push(RECORD_SCHEMA.parse({kind: 'data-centre', id, region: 'r'}));
  }
  for (const [id, limit] of Object.entries(limits)) {
    const fields = {kind: 'workspace', id, keyDigests: [], ...limit};
    records.push(RECORD_SCHEMA.parse(fields));
  }
  const state = newStateFromRecords(version, records);
  return {
    state,
    routes: compileRouteTable(state),
    workspaces: compileWorkspaceIndex(state),
  };
}
