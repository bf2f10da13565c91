import type {ServiceId} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import {expect} from 'chai';
import type {DialCandidate, DialLimits} from './dial_plan.js';
import {chooseDials} from './dial_plan.js';

const [A, B] = ['a', 'b'].map(id => brandId<ServiceId>(id));
const NO_NEED: DialLimits = {
  room: 8,
  spareAllowance: 0,
  shortages: new Map(),
  needsOwnDataCentre: false,
};
const CANDIDATES: ReadonlyArray<DialCandidate & {name: string}> = [
  {name: 'a-far', serviceId: A, isSameDataCentre: false},
  {name: 'b-far', serviceId: B, isSameDataCentre: false},
  {name: 'unknown-far', serviceId: undefined, isSameDataCentre: false},
  {name: 'a-near', serviceId: A, isSameDataCentre: true},
  {name: 'b-near', serviceId: B, isSameDataCentre: true},
];

function choose(limits: Partial<DialLimits>): string[] {
  const chosen = chooseDials(CANDIDATES, {...NO_NEED, ...limits});
  return chosen.map(({name}) => name);
}

describe('Dial plan', () => {
  // A start spent its processor time on links that no caller used.
  it('dials nothing without a need or an allowance', () => {
    expect(choose({})).to.deep.equal([]);
    expect(choose({spareAllowance: 2})).to.deep.equal(['a-near', 'b-near']);
  });

  it('dials what callers need before the rest, nearest first', () => {
    const shortages = new Map(B === undefined ? [] : [[B, 3]]);
    expect(choose({shortages})).to.deep.equal([
      'b-near',
      'b-far',
      'unknown-far',
    ]);
    const all = choose({shortages, spareAllowance: Infinity});
    expect(all.slice(3)).to.deep.equal(['a-near', 'a-far']);
    expect(choose({shortages, room: 1})).to.deep.equal(['b-near']);
    expect(choose({shortages, room: -1})).to.deep.equal([]);
  });

  // Entries that don't reach the same lenders of their data centre lend too little.
  it('does not pace the own data centre where its lenders are needed', () => {
    const needsOwnDataCentre = true;
    expect(choose({needsOwnDataCentre})).to.deep.equal(['a-near', 'b-near']);
    const shortages = new Map(B === undefined ? [] : [[B, 1]]);
    expect(choose({needsOwnDataCentre, shortages})).to.deep.equal([
      'b-near',
      'a-near',
    ]);
  });
});
