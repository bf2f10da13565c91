import {readFile} from 'node:fs/promises';
import type {Clock} from '@sinonjs/fake-timers';
import FakeTimers from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {LoadModel} from './load_model.js';
import {parseScenario} from './scenario.js';
import type {KindResult, ModelScenario} from './types.js';

const SCENARIO_URL = new URL(
  '../../../../scenarios/three_data_centres.ini',
  import.meta.url,
);
const LENGTH_MS = 4_000;
const SEED = 20261204;
/** What the users count as served less often, or as a smaller share. */
const SERVED_MARGIN = 0.05;

describe('Load model', () => {
  let clock: Clock;
  let scenario: ModelScenario;

  beforeEach(async () => {
    const text = await readFile(SCENARIO_URL, 'utf8');
    scenario = {...parseScenario(text), lengthMs: LENGTH_MS, bursts: []};
    clock = FakeTimers.install();
  });

  afterEach(() => {
    clock.uninstall();
  });

  async function play(factor: number): Promise<Map<string, KindResult>> {
    const bursts = [{fromMs: 0, untilMs: LENGTH_MS, factor}];
    const model = new LoadModel({...scenario, bursts}, SEED, clock);
    return new Map(await model.play());
  }

  function servedShare(
    results: ReadonlyMap<string, KindResult>,
    name: string,
  ): number {
    const result = results.get(name);
    if (!result) throw new Error(`no result of ${name}`);
    return (result.inTime + result.late) / result.offered;
  }

  it('ends every request exactly once', async () => {
    for (const {offered, ...ends} of (await play(2)).values()) {
      const {inTime, late, refused, failed} = ends;
      expect(inTime + late + refused + failed).to.equal(offered);
    }
  });

  it('burst: the more urgent kind of a service is served as often', async () => {
    const results = await play(2.5);
    const urgent = servedShare(results, 'pattern-read');
    const patient = servedShare(results, 'archive-read');
    expect(urgent).to.be.at.least(patient - SERVED_MARGIN);
  });

  it('burst: calls are served, and their callers run for something', async () => {
    const results = await play(2.5);
    for (const name of ['tally-check', 'tide-peek']) {
      expect(servedShare(results, name)).to.be.above(1 - SERVED_MARGIN);
    }
    const lookups = results.get('pier-lookup');
    expect(lookups?.failed).to.be.below(
      SERVED_MARGIN * (lookups?.offered ?? 0),
    );
  });
});
