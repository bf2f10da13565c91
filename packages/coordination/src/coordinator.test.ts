import type {Clock as InstalledClock} from '@sinonjs/fake-timers';
import FakeTimers from '@sinonjs/fake-timers';
import type {DataCentreId, ServiceId} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import {expect} from 'chai';
import fc from 'fast-check';
import {isLiveState} from './member_table.js';
import {DEFAULT_OVERLAY, DEFAULT_TIMING} from './coordinator_options.js';
import type {TestSlot} from './testing/test_fleet.js';
import {TestFleet} from './testing/test_fleet.js';

const SEED = 20261204;
const RUN_COUNT = 25;
const SETTLE_MS = 10_000;
/** Longest time for a death to be known: silence, suspicion, refutation. */
const DETECTION_MS = 25_000;
/** Time for links, roles and repair to recover after all faults are over. */
const RECOVERY_MS = 90_000;
/** Time for which a process is away that a platform restarts. */
const RESTART_MS = 1_500;
/** Time after which a machine with a path to others counts as in touch. */
const REJOIN_MS = 3_000;
const DATA_CENTRES = ['dc-a', 'dc-b', 'dc-c'].map(id =>
  brandId<DataCentreId>(id),
);

async function startFleet(
  clock: InstalledClock,
  slotsPerDataCentre: number,
  fetchDelayMs = DEFAULT_TIMING.fetchDelayMs,
): Promise<TestFleet> {
  const timing = {...DEFAULT_TIMING, fetchDelayMs};
  const fleet = new TestFleet(SEED, DEFAULT_OVERLAY, timing);
  for (const dataCentre of DATA_CENTRES) {
    fleet.addSlots(dataCentre, slotsPerDataCentre);
  }
  for (const slot of fleet.slots) await fleet.start(slot);
  await clock.tickAsync(SETTLE_MS);
  return fleet;
}

function getVersions(fleet: TestFleet): number[] {
  return fleet.getRunning().map(getVersion);
}

function getVersion(slot: TestSlot): number {
  return slot.coordinator?.getConfiguration().state.version ?? 0;
}

function getSeenLive(slot: TestSlot): string[] {
  const members = slot.coordinator?.getMembership().records.values() ?? [];
  return [...members]
    .filter(record => isLiveState(record.state))
    .map(record => record.instanceId)
    .sort();
}

describe('Coordinator', () => {
  let clock: InstalledClock;
  let fleet: TestFleet;

  beforeEach(() => {
    clock = FakeTimers.install({now: 1_800_000_000_000});
  });

  afterEach(() => {
    for (const slot of fleet.slots) fleet.crash(slot);
    clock.uninstall();
  });

  it('brings an accepted change to every daemon of all data centres', async () => {
    fleet = await startFleet(clock, 4);
    const version = await fleet.commit();
    await clock.tickAsync(3_000);
    expect(getVersions(fleet)).to.deep.equal(Array(12).fill(version));
  });

  it('change storm: readers take each change from the store alone', async () => {
    fleet = await startFleet(clock, 2, 250);
    for (const [index, id] of DATA_CENTRES.entries()) {
      fleet.storeLagMs.set(id, 1 + 20 * index);
    }
    // A process that holds nothing yet may ask at once.
    let version = await fleet.commit();
    await clock.tickAsync(1_000);
    const before = fleet.events.get('fetch-sent') ?? 0;
    for (let index = 0; index < 20; index += 1) {
      version = await fleet.commit();
      await clock.tickAsync(100);
    }
    await clock.tickAsync(1_000);
    expect(getVersions(fleet)).to.deep.equal(Array(6).fill(version));
    expect(fleet.events.get('fetch-sent') ?? 0).to.equal(before);
  });

  it('asks a peer where the store has not told in time', async () => {
    fleet = await startFleet(clock, 2, 250);
    const [cut = brandId<DataCentreId>('')] = DATA_CENTRES;
    fleet.cutFromStore.add(cut);
    const version = await fleet.commit();
    await clock.tickAsync(1_500);
    expect(getVersions(fleet)).to.deep.equal(Array(6).fill(version));
  });

  it('lets every daemon know every other one', async () => {
    fleet = await startFleet(clock, 4);
    await clock.tickAsync(SETTLE_MS);
    const all = fleet.slots.map(slot => slot.instanceId).sort();
    for (const slot of fleet.slots) {
      expect(getSeenLive(slot)).to.deep.equal(all);
    }
  });

  it('reaches a data centre that is cut off from the store', async () => {
    fleet = await startFleet(clock, 3);
    const [cut = brandId<DataCentreId>('')] = DATA_CENTRES;
    fleet.cutFromStore.add(cut);
    const version = await fleet.commit();
    await clock.tickAsync(3_000);
    expect(getVersions(fleet)).to.deep.equal(Array(9).fill(version));
  });

  it('is found again after a planned restart while the store is away', async () => {
    fleet = await startFleet(clock, 4);
    const version = await fleet.commit();
    await clock.tickAsync(1_000);
    for (const id of DATA_CENTRES) fleet.cutFromStore.add(id);
    const [slot] = fleet.slots;
    if (!slot) throw new Error('no slot');
    const left = fleet.leave(slot);
    await clock.tickAsync(RESTART_MS);
    await left;
    await fleet.start(slot);
    await clock.tickAsync(REJOIN_MS);
    expect(slot.coordinator?.isReady()).to.equal(true);
    expect(getVersion(slot)).to.equal(version);
  });

  it('goes on in a data centre that is cut off and catches up after', async () => {
    fleet = await startFleet(clock, 3);
    const [cut = brandId<DataCentreId>('')] = DATA_CENTRES;
    const before = await fleet.commit();
    await clock.tickAsync(3_000);
    fleet.cutFromStore.add(cut);
    fleet.setGroup(cut, 'alone');
    const after = await fleet.commit();
    await clock.tickAsync(60_000);
    for (const slot of fleet.slots) {
      const isCut = slot.dataCentreId === cut;
      expect(getVersion(slot)).to.equal(isCut ? before : after);
      expect(slot.coordinator?.isReady()).to.equal(true);
    }
    fleet.cutFromStore.clear();
    fleet.setGroup(cut, undefined);
    await clock.tickAsync(RECOVERY_MS);
    expect(getVersions(fleet)).to.deep.equal(Array(9).fill(after));
  });

  it('buries a crashed daemon and no living one', async () => {
    fleet = await startFleet(clock, 4);
    const [victim] = fleet.slots;
    if (!victim) throw new Error('The fleet is empty');
    fleet.crash(victim);
    await clock.tickAsync(DETECTION_MS);
    const living = fleet
      .getRunning()
      .map(slot => slot.instanceId)
      .sort();
    for (const slot of fleet.getRunning()) {
      expect(getSeenLive(slot)).to.deep.equal(living);
    }
  });

  it('takes back a daemon that was cut off and buried', async () => {
    fleet = await startFleet(clock, 4);
    const [victim] = fleet.slots;
    if (!victim) throw new Error('The fleet is empty');
    fleet.network.setGroup(victim.peerAddress, 'alone');
    await clock.tickAsync(DETECTION_MS);
    const others = fleet.slots.filter(slot => slot !== victim);
    for (const slot of others) {
      expect(getSeenLive(slot)).not.to.include(victim.instanceId);
    }
    fleet.network.setGroup(victim.peerAddress, '');
    await clock.tickAsync(RECOVERY_MS);
    for (const slot of fleet.slots) {
      expect(getSeenLive(slot).length).to.equal(fleet.slots.length);
    }
  });

  it('mends by heartbeats what was lost on the way', async () => {
    fleet = await startFleet(clock, 4);
    fleet.network.setLossPeriod(1);
    const [first] = fleet.slots;
    const serviceId = brandId<ServiceId>('catalogue');
    first?.coordinator?.setTarget({serviceId, slots: 1, connections: 1});
    const version = await fleet.commit();
    await clock.tickAsync(2_000);
    fleet.network.setLossPeriod(0);
    await clock.tickAsync(DETECTION_MS);
    for (const {coordinator} of fleet.slots) {
      expect(coordinator?.getConfiguration().state.version).to.equal(version);
      const {targetsByService} = coordinator?.getMembership() ?? {};
      expect(targetsByService?.get(serviceId)?.length).to.equal(1);
    }
  });

  it('knows in each daemon which data centres can not be reached', async () => {
    fleet = await startFleet(clock, 3);
    const [cut = brandId<DataCentreId>('')] = DATA_CENTRES;
    fleet.setGroup(cut, 'alone');
    await clock.tickAsync(DETECTION_MS);
    for (const slot of fleet.slots) {
      const {unreachable} = slot.coordinator?.getMembership() ?? {};
      const others = DATA_CENTRES.filter(id => id !== cut);
      const expected = slot.dataCentreId === cut ? others : [cut];
      expect([...(unreachable ?? [])].sort()).to.deep.equal(expected);
    }
    fleet.setGroup(cut, undefined);
    await clock.tickAsync(RECOVERY_MS);
    for (const slot of fleet.slots) {
      const {unreachable} = slot.coordinator?.getMembership() ?? {};
      expect(unreachable?.size).to.equal(0);
    }
  });

  it('does not serve below the version that its slot last held', async () => {
    fleet = await startFleet(clock, 4);
    const version = await fleet.commit();
    await clock.tickAsync(SETTLE_MS);
    for (const dataCentre of DATA_CENTRES) fleet.cutFromStore.add(dataCentre);
    const [slot] = fleet.slots;
    if (!slot) throw new Error('The fleet is empty');
    fleet.crash(slot);
    await fleet.start(slot);
    for (let step = 0; step < 600; step += 1) {
      await clock.tickAsync(100);
      if (slot.coordinator?.isReady() !== true) continue;
      expect(getVersion(slot)).to.be.at.least(version);
    }
  });

  it('reads the store from a few daemons only', async () => {
    fleet = await startFleet(clock, 6);
    let watchCount = 0;
    const {store} = fleet;
    const waitForChange = store.waitForChange.bind(store);
    store.waitForChange = request => {
      watchCount += 1;
      return waitForChange(request);
    };
    await fleet.commit();
    await clock.tickAsync(1_000);
    const readerCount =
      DATA_CENTRES.length * DEFAULT_OVERLAY.readersPerDataCentre;
    expect(watchCount).to.equal(readerCount);
  });

  it('keeps its promises through crashes, cuts and outages', async function () {
    this.timeout(600_000);
    const commandLists = fc.commands(FLEET_COMMANDS, {maxCommands: 15});
    await fc.assert(
      fc.asyncProperty(commandLists, async commands => {
        fleet = await startFleet(clock, 3);
        const model: FleetModel = {clock, held: new Map(), digests: []};
        const setup = () => ({model, real: fleet});
        try {
          await fc.asyncModelRun(setup, commands);
          await checkRecovery(model, fleet);
        } finally {
          for (const slot of fleet.slots) fleet.crash(slot);
        }
      }),
      {seed: SEED, numRuns: RUN_COUNT},
    );
  });
});

interface FleetModel {
  readonly clock: InstalledClock;
  /** Highest version with which each slot was ready. */
  readonly held: Map<TestSlot, number>;
  /** Digest of each accepted version. */
  readonly digests: string[];
}

/** Advances time in steps and checks every daemon at each. */
async function advance(
  model: FleetModel,
  fleet: TestFleet,
  durationMs: number,
): Promise<void> {
  const stepMs = 250;
  for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
    await model.clock.tickAsync(stepMs);
    for (const slot of fleet.getRunning()) checkSlot(model, slot);
  }
}

function checkSlot(model: FleetModel, slot: TestSlot): void {
  const {coordinator} = slot;
  if (!coordinator?.isReady()) return;
  const {state} = coordinator.getConfiguration();
  const held = model.held.get(slot) ?? 0;
  expect(state.version, slot.instanceId).to.be.at.least(held);
  model.held.set(slot, state.version);
  if (state.version === 0) return;
  expect(state.digest).to.equal(model.digests[state.version - 1]);
}

async function checkRecovery(
  model: FleetModel,
  fleet: TestFleet,
): Promise<void> {
  fleet.cutFromStore.clear();
  fleet.network.setLossPeriod(0);
  for (const dataCentre of DATA_CENTRES) fleet.setGroup(dataCentre, undefined);
  await advance(model, fleet, RECOVERY_MS);
  const living = fleet
    .getRunning()
    .map(slot => slot.instanceId)
    .sort();
  for (const slot of fleet.getRunning()) {
    expect(slot.coordinator?.isReady(), slot.instanceId).to.equal(true);
    expect(getVersion(slot)).to.equal(model.digests.length);
    expect(getSeenLive(slot), slot.instanceId).to.deep.equal(living);
  }
}

abstract class FleetCommand implements fc.AsyncCommand<FleetModel, TestFleet> {
  constructor(
    protected readonly index: number,
    private readonly waitMs: number,
  ) {}

  check(): boolean {
    return true;
  }

  async run(model: FleetModel, fleet: TestFleet): Promise<void> {
    await this.act(model, fleet);
    await advance(model, fleet, this.waitMs);
  }

  toString(): string {
    return `${this.constructor.name}(${this.index}, ${this.waitMs})`;
  }

  protected getSlot(fleet: TestFleet): TestSlot | undefined {
    return fleet.slots[this.index % fleet.slots.length];
  }

  protected getDataCentre(): DataCentreId {
    const [first = brandId<DataCentreId>('')] = DATA_CENTRES;
    return DATA_CENTRES[this.index % DATA_CENTRES.length] ?? first;
  }

  protected abstract act(
    model: FleetModel,
    fleet: TestFleet,
  ): Promise<void> | void;
}

class Commit extends FleetCommand {
  protected async act(model: FleetModel, fleet: TestFleet): Promise<void> {
    await fleet.commit();
    const stored = await fleet.store.get('cassiaknot/head');
    const head = JSON.parse(stored.unwrap()?.value ?? '') as {digest: string};
    model.digests.push(head.digest);
  }
}

class Crash extends FleetCommand {
  protected act(_model: FleetModel, fleet: TestFleet): void {
    const slot = this.getSlot(fleet);
    if (slot) fleet.crash(slot);
  }
}

class Restart extends FleetCommand {
  protected async act(_model: FleetModel, fleet: TestFleet): Promise<void> {
    const slot = this.getSlot(fleet);
    if (!slot) return;
    if (slot.coordinator) fleet.crash(slot);
    await fleet.start(slot);
  }
}

class CutDataCentre extends FleetCommand {
  protected act(_model: FleetModel, fleet: TestFleet): void {
    const dataCentre = this.getDataCentre();
    fleet.setGroup(dataCentre, dataCentre);
  }
}

class HealDataCentre extends FleetCommand {
  protected act(_model: FleetModel, fleet: TestFleet): void {
    fleet.setGroup(this.getDataCentre(), undefined);
  }
}

class CutSlot extends FleetCommand {
  protected act(_model: FleetModel, fleet: TestFleet): void {
    const slot = this.getSlot(fleet);
    if (slot) fleet.network.setGroup(slot.peerAddress, slot.instanceId);
  }
}

class LoseMessages extends FleetCommand {
  protected act(_model: FleetModel, fleet: TestFleet): void {
    fleet.network.setLossPeriod(this.index % 4);
  }
}

class CutStore extends FleetCommand {
  protected act(_model: FleetModel, fleet: TestFleet): void {
    fleet.cutFromStore.add(this.getDataCentre());
  }
}

class HealStore extends FleetCommand {
  protected act(_model: FleetModel, fleet: TestFleet): void {
    fleet.cutFromStore.delete(this.getDataCentre());
  }
}

const COMMAND_CLASSES = [
  Commit,
  Commit,
  Crash,
  Restart,
  Restart,
  CutDataCentre,
  HealDataCentre,
  CutStore,
  HealStore,
  CutSlot,
  LoseMessages,
];
const FLEET_COMMANDS = COMMAND_CLASSES.map(Class =>
  fc
    .tuple(fc.nat(8), fc.constantFrom(0, 500, 3_000, 12_000))
    .map(([index, waitMs]) => new Class(index, waitMs)),
);
