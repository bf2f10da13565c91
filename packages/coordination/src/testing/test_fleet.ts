/** Several coordinators in one process, on a fake network and one store. */

import type {
  DataCentreId,
  InstanceId,
  InventoryRecord,
} from '@cassiaknot/inventory';
import {RECORD_SCHEMA, brandId, newChange} from '@cassiaknot/inventory';
import type {GateAddress, PeerAddress} from '@cassiaknot/peer-protocol';
import {InMemoryNetwork} from '@cassiaknot/peer-protocol/testing';
import {InMemoryStore} from '@cassiaknot/store';
import {FaultyStore} from '@cassiaknot/store/testing';
import {Backoff} from '../backoff.js';
import {commitChange} from '../commit_change.js';
import {Coordinator} from '../coordinator.js';
import type {
  CoordinationEvent,
  OverlayOptions,
  TimingOptions,
} from '../coordinator_options.js';
import {DEFAULT_OVERLAY, DEFAULT_TIMING} from '../coordinator_options.js';
import {LogSource} from '../configuration_source.js';
import {SeededRandom} from '../random.js';

/** One slot for a coordinator; the slot outlives its process. */
export interface TestSlot {
  readonly instanceId: InstanceId;
  readonly dataCentreId: DataCentreId;
  readonly peerAddress: PeerAddress;
  coordinator: Coordinator | undefined;
}

/** Coordinators that share a network, a store and the runtime's clock. */
export class TestFleet {
  readonly network = new InMemoryNetwork();
  readonly store = new InMemoryStore();
  readonly slots: TestSlot[] = [];
  readonly events = new Map<CoordinationEvent, number>();
  /** Data centres that can't reach the store. */
  readonly cutFromStore = new Set<DataCentreId>();
  /** Time that the store's answers take to a data centre. */
  readonly storeLagMs = new Map<DataCentreId, number>();
  private commitCount = 0;
  private startCount = 0;

  constructor(
    private readonly seed: number,
    private readonly overlay: OverlayOptions = DEFAULT_OVERLAY,
    private readonly timing: TimingOptions = DEFAULT_TIMING,
  ) {}

  /** Adds empty slots to a data centre. */
  addSlots(dataCentre: string, count: number): TestSlot[] {
    const added: TestSlot[] = [];
    for (let index = 0; index < count; index += 1) {
      const name = `${dataCentre}-${index}`;
      added.push({
        instanceId: brandId<InstanceId>(name),
        dataCentreId: brandId<DataCentreId>(dataCentre),
        peerAddress: brandId<PeerAddress>(`${name}:1`),
        coordinator: undefined,
      });
    }
    this.slots.push(...added);
    return added;
  }

  /** Starts a fresh process in a slot. */
  async start(slot: TestSlot): Promise<void> {
    this.startCount += 1;
    const {dataCentreId, instanceId, peerAddress} = slot;
    const store = new FaultyStore(
      this.store,
      () => (this.cutFromStore.has(dataCentreId) ? 'unavailable' : 'none'),
      call => this.answerLate(dataCentreId, call),
    );
    const coordinator = new Coordinator({
      identity: {
        instanceId,
        dataCentreId,
        peerAddress,
        gateAddress: brandId<GateAddress>(`${instanceId}:2`),
      },
      overlay: this.overlay,
      timing: this.timing,
      transport: this.network.newTransport(peerAddress),
      store,
      source: new LogSource(store),
      random: new SeededRandom(this.seed + this.startCount),
      observer: {
        log: () => undefined,
        count: event => {
          this.events.set(event, (this.events.get(event) ?? 0) + 1);
        },
      },
      onFatal: error => {
        throw error;
      },
    });
    slot.coordinator = coordinator;
    await coordinator.start();
  }

  private async answerLate<T>(
    dataCentreId: DataCentreId,
    call: () => Promise<T>,
  ): Promise<T> {
    const answer = await call();
    const lagMs = this.storeLagMs.get(dataCentreId);
    if (lagMs !== undefined) {
      await new Promise(resolve => setTimeout(resolve, lagMs));
    }
    return answer;
  }

  /** Stops the process in a slot as planned. */
  async leave(slot: TestSlot): Promise<void> {
    const {coordinator} = slot;
    slot.coordinator = undefined;
    await coordinator?.stop();
    this.network.crash(slot.peerAddress);
  }

  /** Ends the process in a slot without a word. */
  crash(slot: TestSlot): void {
    const {coordinator} = slot;
    slot.coordinator = undefined;
    this.network.crash(slot.peerAddress);
    coordinator?.abandon();
  }

  /** Cuts a data centre off from the others, or with `undefined` heals it. */
  setGroup(dataCentreId: DataCentreId, group: string | undefined): void {
    for (const slot of this.slots) {
      if (slot.dataCentreId !== dataCentreId) continue;
      this.network.setGroup(slot.peerAddress, group ?? '');
    }
  }

  /** Accepts a change; returns its version. */
  async commit(records?: readonly InventoryRecord[]): Promise<number> {
    this.commitCount += 1;
    const contact = `contact ${this.commitCount}`;
    const owner = RECORD_SCHEMA.parse({kind: 'owner', id: 'o', contact});
    const change = newChange('a', this.commitCount - 1, [
      ...(records ?? [owner]),
    ]);
    const receipt = await commitChange(change, {
      store: this.store,
      backoff: new Backoff({minDelayMs: 1, maxDelayMs: 2}, new SeededRandom(1)),
      maxAttempts: 3,
    });
    return receipt.unwrap().version;
  }

  /** Slots whose process runs. */
  getRunning(): TestSlot[] {
    return this.slots.filter(slot => slot.coordinator !== undefined);
  }
}
