import {TestFleet} from '@cassiaknot/coordination/testing';
import type {Clock} from '@sinonjs/fake-timers';
import FakeTimers from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {MESH_OVERLAY, MESH_TIMING} from './mesh_options.js';

const SEED = 20261204;
const DATA_CENTRES = ['a', 'b', 'c'];
const SLOTS_PER_DATA_CENTRE = 5;
const SETTLE_MS = 10_000;
/** Time in which a change has to be in force on every machine in reach. */
const APPLY_MS = 2_000;

describe('Overlay of a mesh', () => {
  let clock: Clock;
  let fleet: TestFleet;

  beforeEach(() => {
    clock = FakeTimers.install({now: 1_800_000_000_000});
    fleet = new TestFleet(SEED, MESH_OVERLAY, MESH_TIMING);
  });

  afterEach(() => {
    for (const slot of fleet.slots) fleet.crash(slot);
    clock.uninstall();
  });

  for (let index = 0; index < SLOTS_PER_DATA_CENTRE; index += 1) {
    it(`machine ${index} takes a change in time when its peers lose power`, async () => {
      for (const id of DATA_CENTRES) fleet.addSlots(id, SLOTS_PER_DATA_CENTRE);
      for (const slot of fleet.slots) await fleet.start(slot);
      await clock.tickAsync(SETTLE_MS);
      // A process that holds nothing yet asks for it in another way.
      await fleet.commit();
      await clock.tickAsync(APPLY_MS);
      const slot = fleet.slots[index];
      if (!slot) throw new Error('no slot');
      // Nothing is heard of a peer without power, and no connection is closed.
      fleet.network.setGroup(slot.peerAddress, slot.instanceId);
      const version = await fleet.commit();
      await clock.tickAsync(APPLY_MS);
      const held = slot.coordinator?.getConfiguration().state.version;
      expect(held).to.equal(version);
    });
  }
});
