/** The real entry and gate of one instance, on links of the model. */

import type {PublishedConfiguration} from '@cassiaknot/coordination';
import {SeededRandom} from '@cassiaknot/coordination';
import type {ServiceId} from '@cassiaknot/inventory';
import type {GateAddress, RelayLinkEvents} from '@cassiaknot/peer-protocol';
import type {Dialect, RelayObserver} from '@cassiaknot/relay';
import {
  Entry,
  Gate,
  GateDirectory,
  TargetSlot,
  openLocalLink,
} from '@cassiaknot/relay';
import type {RetryWindow} from '@cassiaknot/routing';
import {ModelledTarget} from './modelled_target.js';
import type {TargetSurroundings} from './modelled_target.js';
import type {ModelTarget} from './types.js';

/** What an instance needs of the model around it. */
export interface InstanceSurroundings extends TargetSurroundings {
  readonly configuration: PublishedConfiguration;
  readonly retryWindow: RetryWindow<ServiceId>;
  readonly observer: RelayObserver;
  readonly seed: number;
  readonly memberCount: number;
  /** Gate of another instance, and the way to it. */
  findGate(address: GateAddress): {instance: ModelledInstance; wayMs: number};
}

const DIALECT: Dialect = {
  withheldRequestHeaders: new Set(),
  withheldAnswerHeaders: new Set(),
  readCaller: () => ({requestId: '', deadlineMs: undefined}),
  writeTargetFields: () => [],
  judgeResponse: () => ({kind: 'answer'}),
};

/** One instance. */
export class ModelledInstance {
  readonly entry: Entry;
  readonly gate: Gate;
  readonly directory: GateDirectory;
  private readonly slot: TargetSlot;

  constructor(
    readonly target: ModelTarget,
    surroundings: InstanceSurroundings,
  ) {
    const {observer, seed} = surroundings;
    const address = target.instanceId;
    this.slot = new TargetSlot({
      getAddress: () => address,
      newClient: () => new ModelledTarget(target, surroundings),
      observer,
      onChange: () => this.gate.publishTarget(),
    });
    this.gate = new Gate({
      slot: this.slot,
      dialect: DIALECT,
      observer,
      crashWatch: {
        judge: () => 'clear',
        acquit: () => undefined,
        reportCrash: () => undefined,
      },
    });
    this.directory = new GateDirectory({
      self: target.instanceId,
      dataCentreId: target.dataCentreId,
      dial: (gateAddress, events) => {
        const {instance, wayMs} = surroundings.findGate(gateAddress);
        const gateEvents = instance.gate.getLinkEvents();
        return openLocalLink(delay(events, wayMs), delay(gateEvents, wayMs));
      },
      openOwn: events => openLocalLink(events, this.gate.getLinkEvents()),
      random: new SeededRandom(seed),
      observer,
    });
    this.entry = new Entry({
      getConfiguration: () => surroundings.configuration,
      mayRoute: () => true,
      directory: this.directory,
      retryWindow: surroundings.retryWindow,
      getMemberCount: () => surroundings.memberCount,
      getCallerServiceId: () => target.serviceId,
      observer,
      random: surroundings.random,
    });
  }

  /** Announces the target of this instance. */
  announce(): void {
    const {instanceId, serviceId, slots} = this.target;
    this.slot.announce({
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

  /** Runs the periodic checks. */
  sweep(): void {
    this.directory.sweep();
    this.slot.sweep();
  }
}

function delay(events: RelayLinkEvents, wayMs: number): RelayLinkEvents {
  return {
    ...events,
    onFrame: (link, frame) => {
      setTimeout(() => events.onFrame(link, frame), wayMs);
    },
  };
}
