/** The production entry and gate of one instance, over simulated links. */

import type {PublishedConfiguration} from '@cassiaknot/coordination';
import {SeededRandom} from '@cassiaknot/coordination';
import type {ServiceId} from '@cassiaknot/inventory';
import type {GateAddress, RelayLinkEvents} from '@cassiaknot/peer-protocol';
import type {HeaderCodec, RelayObserver} from '@cassiaknot/relay';
import {
  RelayEntry,
  RelayGate,
  GateDirectory,
  LocalTarget,
  openLocalLink,
} from '@cassiaknot/relay';
import type {SlidingRetryBudget} from '@cassiaknot/routing';
import {ModelledTarget, PACE_HEADER} from './modelled_target.js';
import type {TargetEnvironment} from './modelled_target.js';
import type {TargetSpec} from './types.js';

/** The parts of the load model that an instance uses. */
export interface InstanceEnvironment extends TargetEnvironment {
  readonly configuration: PublishedConfiguration;
  readonly retryBudget: SlidingRetryBudget<ServiceId>;
  readonly observer: RelayObserver;
  readonly seed: number;
  readonly memberCount: number;
  /** Finds the instance of a gate, and the one-way network delay to it. */
  findGate(address: GateAddress): {
    instance: ModelledInstance;
    oneWayDelayMs: number;
  };
}

/** Passes all headers on and returns every response as it is. */
const HEADER_CODEC: HeaderCodec = {
  strippedRequestHeaders: new Set(),
  workspaceRequestHeaders: new Set(),
  challenge: 'Bearer',
  strippedResponseHeaders: new Set(),
  parseCallerHeaders: () => ({requestId: '', timeoutMs: undefined}),
  formatTargetHeaders: () => [],
  parseTargetReport: ({[PACE_HEADER]: pace}) => ({
    limitPerSecond: undefined,
    isLeaving: false,
    pace: pace === undefined ? undefined : Number(pace),
  }),
  classifyResponse: () => ({kind: 'answer'}),
};

/** One simulated instance with its entry, gate and target. */
export class ModelledInstance {
  readonly entry: RelayEntry;
  readonly gate: RelayGate;
  readonly directory: GateDirectory;
  private readonly localTarget: LocalTarget;

  constructor(
    readonly target: TargetSpec,
    environment: InstanceEnvironment,
  ) {
    const {observer, seed} = environment;
    const address = target.instanceId;
    this.localTarget = new LocalTarget({
      isKnownService: () => true,
      getAddress: () => address,
      newClient: () => new ModelledTarget(target, environment),
      observer,
      onTargetChange: () => this.gate.publishTargetState(),
    });
    this.gate = new RelayGate({
      localTarget: this.localTarget,
      headerCodec: HEADER_CODEC,
      observer,
      getLoopDelayMs: () => 0,
      crashTracker: {
        getStatus: () => 'clear',
        clear: () => undefined,
        reportCrash: () => undefined,
      },
    });
    this.directory = new GateDirectory({
      self: target.instanceId,
      dataCentreId: target.dataCentreId,
      dial: (gateAddress, events) => {
        const {instance, oneWayDelayMs} = environment.findGate(gateAddress);
        const gateEvents = instance.gate.getLinkEvents();
        return openLocalLink(
          delayFrames(events, oneWayDelayMs),
          delayFrames(gateEvents, oneWayDelayMs),
        );
      },
      openLocalLink: events => openLocalLink(events, this.gate.getLinkEvents()),
      random: new SeededRandom(seed),
      observer,
    });
    this.entry = new RelayEntry({
      getConfiguration: () => environment.configuration,
      hasNewerVersion: () => false,
      mayRoute: () => true,
      workspaceRequestHeaders: HEADER_CODEC.workspaceRequestHeaders,
      directory: this.directory,
      retryBudget: environment.retryBudget,
      getMemberCount: () => environment.memberCount,
      getCallerServiceId: () => target.serviceId,
      observer,
      random: environment.random,
    });
  }

  /** Announces the target of this instance as ready. */
  announce(): void {
    const {instanceId, serviceId, slots} = this.target;
    this.localTarget.announce({
      targetId: instanceId,
      serviceId,
      address: instanceId,
      slots,
      state: 'ready',
      coldMs: 0,
      sequence: 1,
      startedAtMs: 0,
    });
  }

  /** Runs the periodic checks of the gate directory and the local target. */
  sweep(): void {
    this.directory.sweep();
    this.localTarget.sweep();
  }
}

function delayFrames(
  events: RelayLinkEvents,
  oneWayDelayMs: number,
): RelayLinkEvents {
  return {
    ...events,
    onFrame: (link, frame) => {
      setTimeout(() => events.onFrame(link, frame), oneWayDelayMs);
    },
  };
}
