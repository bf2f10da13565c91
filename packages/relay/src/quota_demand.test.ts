import type {Clock} from '@sinonjs/fake-timers';
import FakeTimers from '@sinonjs/fake-timers';
import {expect} from 'chai';
import type {QuotaEvent} from './testing/quota_mesh.js';
import {QuotaMesh, advance} from './testing/quota_mesh.js';

const WORKSPACE = 'w';
const DATA_CENTRES = 3;
const INSTANCES_PER_DATA_CENTRE = 6;
const SIZE = DATA_CENTRES * INSTANCES_PER_DATA_CENTRE;
const LIMIT = {ratePerSecond: 320, burst: 320};
/** Usual demand of a workspace: its limit is 1.6 times as high. */
const USUAL_PER_SECOND = 200;
/** Time after a start in which the lenders reach their rate. */
const START_MS = 5_000;

describe('Quotas: demand that moves', () => {
  let clock: Clock;
  let mesh: QuotaMesh;
  let dueCount = 0;

  beforeEach(() => {
    clock = FakeTimers.install();
    dueCount = 0;
    mesh = newMesh();
    mesh.startAll();
  });
  afterEach(() => {
    clock.uninstall();
  });

  function newMesh(limit = LIMIT): QuotaMesh {
    return new QuotaMesh({
      dataCentreCount: DATA_CENTRES,
      instancesPerDataCentre: INSTANCES_PER_DATA_CENTRE,
      limits: {[WORKSPACE]: limit},
      seed: 3,
    });
  }

  /** Sends requests to random instances of a range, and returns their decisions. */
  async function load(
    durationMs: number,
    perSecond: number,
    isUsed: (instance: number) => boolean = () => true,
  ): Promise<QuotaEvent[]> {
    const first = mesh.events.length;
    const used = [...Array(SIZE).keys()].filter(isUsed);
    await advance(clock, mesh, durationMs, stepMs => {
      dueCount += (perSecond * stepMs) / 1_000;
      for (; dueCount >= 1; dueCount -= 1) {
        const index = Math.floor(mesh.getNextRandom() * used.length);
        mesh.request(used[index] ?? 0, WORKSPACE);
      }
    });
    return mesh.events.slice(first);
  }

  function countRefused(events: readonly QuotaEvent[]): number {
    return events.filter(({admission}) => !admission.isAdmitted).length;
  }

  function isIn(dataCentre: number): (instance: number) => boolean {
    return instance =>
      Math.floor(instance / INSTANCES_PER_DATA_CENTRE) === dataCentre;
  }

  // Fixed shares per instance refused most of the demand that met at a few instances.
  it('refuses nothing under the limit while demand moves between instances', async () => {
    await load(START_MS, USUAL_PER_SECOND);
    for (const offset of [0, 5, 9, 14]) {
      const moved = await load(
        1_500,
        USUAL_PER_SECOND,
        instance => (instance + offset) % 6 < 2,
      );
      expect(countRefused(moved), `offset ${offset}`).to.equal(0);
    }
  });

  it('refuses nothing under the limit while demand moves between data centres', async () => {
    await load(START_MS, USUAL_PER_SECOND);
    for (const dataCentre of [0, 1, 2]) {
      const moved = await load(1_500, USUAL_PER_SECOND, isIn(dataCentre));
      expect(countRefused(moved), `data centre ${dataCentre}`).to.equal(0);
    }
  });

  it('hardly ever waits for a lender far below the limit', async () => {
    await load(START_MS, 60);
    const events = await load(4_000, 60);
    expect(countRefused(events)).to.equal(0);
    const waited = events.filter(event => event.decidedAtMs > event.sentAtMs);
    expect(waited.length / events.length).to.be.below(0.15);
  });

  // Permits asked for ahead of requests must not lie idle where none come.
  it('lets a small workspace use its limit, spread over all instances', async () => {
    mesh = newMesh({ratePerSecond: 5, burst: 5});
    mesh.startAll();
    await load(START_MS, 3);
    const events = await load(10_000, 3);
    expect(countRefused(events)).to.equal(0);
  });

  it('keeps a data centre that is cut off at its own part of the limit', async () => {
    await load(START_MS, USUAL_PER_SECOND);
    const sides = Array.from({length: SIZE}, (_, index) =>
      isIn(2)(index) ? 1 : 0,
    );
    mesh.cut(sides);
    const events = await load(6_000, USUAL_PER_SECOND / 3, isIn(2));
    expect(countRefused(events)).to.equal(0);
    mesh.cut([]);
  });

  it('goes on when instances die, lenders included', async () => {
    await load(START_MS, USUAL_PER_SECOND);
    // One of these lends, as all instances of the data centre but one end in turn.
    for (let index = 0; index < INSTANCES_PER_DATA_CENTRE - 1; index += 1) {
      mesh.kill(index);
      const events = await load(
        1_000,
        USUAL_PER_SECOND / 2,
        instance => instance >= INSTANCES_PER_DATA_CENTRE - 1,
      );
      expect(countRefused(events), `without ${index}`).to.equal(0);
      mesh.start(index);
      await load(2_000, USUAL_PER_SECOND / 2);
    }
  });

  it('admits the lowered rate soon after the limit is lowered to a third', async () => {
    await load(START_MS, USUAL_PER_SECOND);
    const lowered = {ratePerSecond: 100, burst: 100};
    mesh.setLimits({[WORKSPACE]: lowered});
    await load(5_000, USUAL_PER_SECOND);
    const events = await load(5_000, USUAL_PER_SECOND);
    const admitted = events.length - countRefused(events);
    expect(admitted).to.be.within(425, 552);
  });

  it('tells callers to come back at different times, later for more demand', async () => {
    await load(START_MS, USUAL_PER_SECOND);
    const getDelays = (events: readonly QuotaEvent[]) =>
      events.flatMap(({admission}) =>
        admission.isAdmitted ? [] : [admission.retryAfterMs],
      );
    const some = getDelays(await load(4_000, 1.2 * LIMIT.ratePerSecond));
    await load(4_000, 5 * LIMIT.ratePerSecond);
    const many = getDelays(await load(1_000, 5 * LIMIT.ratePerSecond));
    const getMean = (delays: readonly number[]) =>
      delays.reduce((sum, delayMs) => sum + delayMs, 0) / delays.length;
    expect(getMean(many)).to.be.above(2 * getMean(some));
    expect(new Set(many.map(Math.round)).size).to.be.above(many.length / 4);
  });

  it('uses most of the limit under far higher demand, with few messages', async () => {
    await load(START_MS, 5 * LIMIT.ratePerSecond);
    mesh.network.frameCounts.clear();
    const events = await load(5_000, 5 * LIMIT.ratePerSecond);
    const admitted = events.length - countRefused(events);
    expect(admitted).to.be.above(0.9 * 5 * LIMIT.ratePerSecond);
    const requests = mesh.network.frameCounts.get('permit-request') ?? 0;
    expect(requests / SIZE / 5).to.be.below(30);
  });
});
