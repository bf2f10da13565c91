import type {Clock as InstalledClock} from '@sinonjs/fake-timers';
import FakeTimers from '@sinonjs/fake-timers';
import type {InventoryRecord} from '@cassiaknot/inventory';
import {
  RECORD_SCHEMA,
  digestText,
  findWorkspaceByKey,
  hasWorkspaces,
} from '@cassiaknot/inventory';
import {expect} from 'chai';
import type {TestInstance} from './testing/test_fleet.js';
import {TestFleet} from './testing/test_fleet.js';

const SEED = 20261207;
const SETTLE_MS = 10_000;
/** Bound within which a removed key stops working on every instance in touch. */
const REVOKE_MS = 5_000;
/** Bound within which an added key works on every instance in touch. */
const CONFIG_APPLY_MS = 2_500;

function newWorkspace(keys: readonly string[]): InventoryRecord {
  const keyDigests = keys.map(digestText).sort();
  return RECORD_SCHEMA.parse({kind: 'workspace', id: 'w', keyDigests});
}

function holdsKey({coordinator}: TestInstance, key: string): boolean {
  const workspaces = coordinator?.getConfiguration().workspaces;
  return workspaces !== undefined && !!findWorkspaceByKey(workspaces, key);
}

describe('Keys of workspaces', () => {
  let clock: InstalledClock;
  let fleet: TestFleet;

  beforeEach(async () => {
    clock = FakeTimers.install({now: 1_800_000_000_000});
    fleet = new TestFleet(SEED);
    for (const dataCentre of ['dc-a', 'dc-b']) {
      fleet.addInstances(dataCentre, 3);
    }
    for (const instance of fleet.instances) await fleet.start(instance);
    await clock.tickAsync(SETTLE_MS);
    await fleet.commit([newWorkspace(['old', 'kept'])]);
    await clock.tickAsync(CONFIG_APPLY_MS);
  });

  afterEach(() => {
    for (const instance of fleet.instances) fleet.crash(instance);
    clock.uninstall();
  });

  // A removed key worked on at an instance that the store turns away.
  it('a removed key ends where a version is heard of only from peers', async () => {
    const [first, second] = fleet.instances;
    for (const instance of [first, second]) {
      if (instance) fleet.turnedAway.add(instance.instanceId);
    }
    await clock.tickAsync(SETTLE_MS);
    for (const instance of fleet.instances) {
      expect(holdsKey(instance, 'old'), instance.instanceId).to.equal(true);
    }
    await fleet.commit([newWorkspace(['kept', 'new'])]);
    await clock.tickAsync(CONFIG_APPLY_MS);
    for (const instance of fleet.instances) {
      expect(holdsKey(instance, 'new'), instance.instanceId).to.equal(true);
    }
    await clock.tickAsync(REVOKE_MS - CONFIG_APPLY_MS);
    for (const instance of fleet.instances) {
      expect(holdsKey(instance, 'old'), instance.instanceId).to.equal(false);
      expect(holdsKey(instance, 'kept'), instance.instanceId).to.equal(true);
    }
  });

  // A rebuilt index costs each instance time, for a change that concerns no key.
  it('a version that changes no workspace keeps the index', async () => {
    const read = () =>
      fleet.instances.map(
        ({coordinator}) => coordinator?.getConfiguration().workspaces,
      );
    const before = read();
    const version = await fleet.commit();
    await clock.tickAsync(CONFIG_APPLY_MS);
    for (const [index, workspaces] of read().entries()) {
      const {coordinator} = fleet.instances[index] ?? {};
      expect(coordinator?.getConfiguration().state.version).to.equal(version);
      expect(workspaces).to.equal(before[index]);
      expect(workspaces && hasWorkspaces(workspaces)).to.equal(true);
    }
  });

  // A restarted instance without a version must not answer for keys it can't know.
  it('an instance that starts again holds the keys once it holds a version', async () => {
    const [restarted] = fleet.instances;
    if (!restarted) throw new Error('The fleet is empty');
    fleet.crash(restarted);
    await clock.tickAsync(1_000);
    await fleet.start(restarted);
    const {coordinator} = restarted;
    expect(coordinator?.getConfiguration().state.version).to.equal(0);
    expect(coordinator?.isReady()).to.equal(false);
    await clock.tickAsync(SETTLE_MS);
    expect(coordinator?.isReady()).to.equal(true);
    expect(holdsKey(restarted, 'kept')).to.equal(true);
  });
});
