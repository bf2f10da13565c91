import {expect} from 'chai';
import {PaceEstimate} from './pace.js';

const REPORT_INTERVAL_MS = 20;

describe('PaceEstimate', () => {
  let pace: PaceEstimate;
  let nowMs: number;

  beforeEach(() => {
    pace = new PaceEstimate();
    nowMs = 0;
  });

  function report(value: number, count: number): void {
    for (let index = 0; index < count; index += 1) {
      nowMs += REPORT_INTERVAL_MS;
      pace.record(value, nowMs);
    }
  }

  // Without the fourth figure, run times must be taken as they are.
  it('is 1 and unknown while the target reports none', () => {
    expect(pace.get(0)).to.equal(1);
    expect(pace.isKnown()).to.equal(false);
  });

  // A gate that follows too late sends requests to a target that is slow by then.
  it('follows a change in both directions within 200 ms', () => {
    report(1, 50);
    report(2, 10);
    expect(pace.get(nowMs)).to.be.above(1.8);
    report(1, 10);
    expect(pace.get(nowMs)).to.be.below(1.2);
  });

  // One noisy report would move all requests away from the target, or to it.
  it('changes little after one report that differs from the others', () => {
    report(1, 50);
    report(2, 1);
    expect(pace.get(nowMs)).to.be.below(1.3);
  });

  // An old report of a slow moment would keep requests away from the target.
  it('expects the mean when the last report is old', () => {
    report(1, 100);
    report(3, 5);
    expect(pace.get(nowMs)).to.be.above(2);
    expect(pace.get(nowMs + 3_000)).to.be.below(1.7);
  });

  // A wrong unit or a lie must not make a target look endlessly slow or fast.
  it('clamps reports that are far from usual', () => {
    pace.record(1e9, 0);
    expect(pace.get(0)).to.be.at.most(20);
    const other = new PaceEstimate();
    other.record(1e-9, 0);
    expect(other.get(0)).to.be.at.least(0.05);
  });
});
