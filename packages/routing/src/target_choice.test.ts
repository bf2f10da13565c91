import {SeededRandom} from '@cassiaknot/coordination';
import {expect} from 'chai';
import {chooseOfTwo, keepInDataCentre, sampleTargets} from './target_choice.js';
import type {TargetEstimate} from './target_ranking.js';

const SEED = 20261207;

describe('Choice among targets that report their pace', () => {
  function newEstimate(
    target: string,
    inFlight: number,
    isSuspect = false,
  ): TargetEstimate<string> {
    return {
      target,
      isSameDataCentre: true,
      isSuspect,
      slots: 6,
      runMs: 100,
      reportedWaitMs: 0,
      reportAgeMs: 0,
      inFlight,
      isWarmingUp: false,
      failureRate: 0,
    };
  }

  // All entries would otherwise choose the target that looks best, on old figures.
  it('gives every target of both kinds a chance', () => {
    const random = new SeededRandom(SEED);
    const targets = Array.from({length: 12}, (_, index) => ({
      index,
      isSameDataCentre: index < 6,
    }));
    const drawn = new Set<number>();
    for (let count = 0; count < 200; count += 1) {
      const sample = sampleTargets(targets, () => random.next());
      expect(new Set(sample).size).to.equal(sample.length);
      for (const {index} of sample) drawn.add(index);
    }
    expect(drawn.size).to.equal(targets.length);
  });

  it('returns all of a few targets', () => {
    const targets = [{isSameDataCentre: true}, {isSameDataCentre: false}];
    expect(sampleTargets(targets, () => 0.99)).to.have.members(targets);
  });

  // Traffic between data centres costs bytes and delay, also where it gains nothing.
  it('leaves the own data centre only if it may miss the objective', () => {
    const local = newEstimate('local', 0);
    const remote = {...newEstimate('remote', 0), isSameDataCentre: false};
    const keep = (objectiveMs: number) =>
      keepInDataCentre([remote, local], {meanRunMs: 100, objectiveMs}).map(
        ({target}) => target,
      );
    expect(keep(1_000)).to.deep.equal(['local']);
    expect(keep(150)).to.deep.equal(['remote', 'local']);
    const context = {meanRunMs: 100, objectiveMs: 1_000};
    expect(keepInDataCentre([remote], context)).to.deep.equal([remote]);
    const suspect = {...local, isSuspect: true};
    expect(keepInDataCentre([remote, suspect], context)).to.have.length(2);
  });

  it('prefers the second best only if this entry has fewer requests there', () => {
    const choose = (...estimates: Array<TargetEstimate<string>>) =>
      chooseOfTwo(estimates)?.target;
    expect(choose(newEstimate('a', 1), newEstimate('b', 1))).to.equal('a');
    expect(choose(newEstimate('a', 2), newEstimate('b', 1))).to.equal('b');
    expect(choose(newEstimate('a', 2), newEstimate('b', 0, true))).to.equal(
      'a',
    );
    expect(choose()).to.equal(undefined);
  });
});
