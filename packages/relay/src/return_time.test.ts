import {expect} from 'chai';
import fc from 'fast-check';
import {planReturnMs} from './return_time.js';

const SEED = 20261207;
const RUN_COUNT = 500;

const USUAL = {waitMs: 400, remainingMs: 4_000, timeoutMs: 4_000, runMs: 300};

describe('Return of refused callers', () => {
  // A return before there is capacity is refused again.
  it('any need: is not before the expected wait has passed', () => {
    const need = fc.record({
      waitMs: fc.double({min: 0, max: 5_000, noNaN: true}),
      remainingMs: fc.double({min: -100, max: 5_000, noNaN: true}),
      timeoutMs: fc.double({min: 0, max: 5_000, noNaN: true}),
      runMs: fc.double({min: 0, max: 1_000, noNaN: true}),
      random: fc.double({min: 0, max: 0.999, noNaN: true}),
    });
    fc.assert(
      fc.property(need, value => {
        const returnMs = planReturnMs(value);
        expect(returnMs).to.be.at.least(value.waitMs);
        expect(returnMs).to.be.at.most(30 + 2 * value.waitMs);
      }),
      {seed: SEED, numRuns: RUN_COUNT},
    );
  });

  it('refused together: come back spread out', () => {
    const times = [0, 0.25, 0.5, 0.75].map(random =>
      planReturnMs({...USUAL, random}),
    );
    expect(times).to.deep.equal([400, 500, 600, 700]);
  });

  it('oldest need: comes back first', () => {
    const fresh = planReturnMs({...USUAL, random: 0.8});
    const old = planReturnMs({...USUAL, remainingMs: 1_500, random: 0.8});
    expect(old).to.be.below(fresh);
  });

  it('little time left: comes back early enough to be run', () => {
    const need = {...USUAL, remainingMs: 800, random: 0.999};
    expect(planReturnMs(need) + need.runMs).to.be.at.most(need.remainingMs);
  });
});
