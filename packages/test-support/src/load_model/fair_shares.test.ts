import type {DataCentreId, InstanceId, ServiceId} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import type {Clock} from '@sinonjs/fake-timers';
import FakeTimers from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {LoadModel} from './load_model.js';
import type {
  LoadScenario,
  RequestCounts,
  RequestKind,
  TargetSpec,
  WorkspaceSpec,
} from './types.js';

const SEED = 1;
const LENGTH_MS = 8_000;
const WORKSPACE_COUNT = 82;
const HOT_ID = 'w0';
const HOT_FACTOR = 7.5;
const DATA_CENTRES = ['a', 'b', 'c'];
const DESK = brandId<ServiceId>('desk');
const LEDGER = brandId<ServiceId>('ledger');

const KINDS: readonly RequestKind[] = [
  {
    name: 'claim-lookup',
    serviceId: DESK,
    perSecond: 101,
    urgency: 2,
    meanWorkMs: 330,
    objectiveMs: 1_042,
    deadlineMs: 4_030,
    isIdempotent: true,
    calls: [{kindName: 'rate-table', probability: 0.7}],
  },
  {
    name: 'refund-payout',
    serviceId: DESK,
    perSecond: 39,
    urgency: 1,
    meanWorkMs: 433,
    objectiveMs: 1_252,
    deadlineMs: 5_033,
    isIdempotent: false,
    calls: [],
  },
  {
    name: 'rate-table',
    serviceId: LEDGER,
    perSecond: 0,
    urgency: 0,
    meanWorkMs: 82.5,
    objectiveMs: 311,
    deadlineMs: 1_011,
    isIdempotent: true,
    calls: [],
  },
];

function newTargets(serviceId: ServiceId, count: number): TargetSpec[] {
  return Array.from({length: count}, (_, index) => ({
    instanceId: brandId<InstanceId>(`${serviceId}-${index}`),
    dataCentreId: brandId<DataCentreId>(DATA_CENTRES[index % 3] ?? ''),
    serviceId,
    slots: 13,
    slowdownFactor: 1,
  }));
}

function newScenario(hotFactor: number): LoadScenario {
  const weights = Array.from(
    {length: WORKSPACE_COUNT},
    (_, index) => 1 / Math.pow(index + 1, 0.8),
  );
  const sum = weights.reduce((total, weight) => total + weight, 0);
  const workspaces = weights.map((weight, index): WorkspaceSpec => {
    const id = `w${index}`;
    const factor = id === HOT_ID ? hotFactor : 1;
    return {id, weight: (factor * weight) / sum};
  });
  const total = workspaces.reduce((rate, {weight}) => rate + weight, 0);
  return {
    lengthMs: LENGTH_MS,
    oneWayDelayMs: 1.4,
    targets: [...newTargets(DESK, 6), ...newTargets(LEDGER, 3)],
    kinds: KINDS.map(kind => ({...kind, perSecond: kind.perSecond * total})),
    bursts: [],
    workspaces,
  };
}

function sum(
  counts: ReadonlyMap<string, RequestCounts>,
  isSelected: (id: string) => boolean,
): RequestCounts {
  const total: RequestCounts = {
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
  for (const [id, {offered, inTime, late, ...others}] of counts) {
    if (!isSelected(id)) continue;
    total.offered += offered;
    total.inTime += inTime;
    total.late += late;
    total.refused += others.refused;
    total.refusedAttempts += others.refusedAttempts;
  }
  return total;
}

function getServedShare({offered, inTime, late}: RequestCounts): number {
  return (inTime + late) / offered;
}

describe('Fair shares over entries and gates', () => {
  let clock: Clock;

  beforeEach(() => {
    clock = FakeTimers.install();
  });

  afterEach(() => {
    clock.uninstall();
  });

  async function run(hotFactor: number): Promise<LoadModel> {
    const model = new LoadModel(newScenario(hotFactor), SEED, clock);
    await model.run();
    return model;
  }

  it('one hot workspace among 82 with 7.5 times its demand: the others are served as on a calm day, and callers are refused about once', async () => {
    const counts = (await run(HOT_FACTOR)).getWorkspaceCounts();
    const hot = sum(counts, id => id === HOT_ID);
    const others = sum(counts, id => id !== HOT_ID);
    const all = sum(counts, () => true);
    expect(getServedShare(others)).to.be.above(0.96);
    expect(others.inTime / others.offered).to.be.above(0.93);
    expect(getServedShare(hot)).to.be.above(0.25 * getServedShare(all));
    // 12 refusals for each request that was not served with the shares turned off.
    expect(all.refused).to.be.above(100);
    expect(all.refusedAttempts / all.refused).to.be.below(2);
  });

  it('a calm day: all workspaces are served', async () => {
    const counts = (await run(1)).getWorkspaceCounts();
    expect(getServedShare(sum(counts, () => true))).to.be.above(0.98);
  });

  it('nested calls of admitted requests: are served beside a hot workspace', async () => {
    const model = new LoadModel(newScenario(HOT_FACTOR), SEED, clock);
    const nested = (await model.run()).get('rate-table');
    if (!nested) throw new Error('no nested calls');
    expect(getServedShare(nested)).to.be.above(0.98);
  });
});
