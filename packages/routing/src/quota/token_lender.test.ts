import {expect} from 'chai';
import {TokenLender} from './token_lender.js';

const VALIDITY = {shortMs: 250, longMs: 2_000};
const LIMITS = {ratePerSecond: 100, burst: 100, capacity: 125};
/** Time after which another lender's permits have expired and the bucket is full. */
const FULL_MS = 10_000;

function newLender(): TokenLender<string> {
  return new TokenLender<string>(LIMITS, VALIDITY, 0);
}

function ask(lender: TokenLender<string>, count: number, nowMs: number) {
  return lender.lend({borrower: 'a', count, returnedCount: 0}, nowMs);
}

describe('Token lender', () => {
  // A lender that took over with a full bucket let the burst through twice.
  it('starts empty and holds no burst until permits of another one have expired', () => {
    const lender = newLender();
    expect(ask(lender, 10, 0).count).to.equal(0);
    expect(lender.getTokenCount(1_900)).to.equal(25);
    expect(lender.getTokenCount(FULL_MS)).to.equal(125);
  });

  it('counts lent permits against its capacity until they expire', () => {
    const lender = newLender();
    expect(ask(lender, 125, FULL_MS)).to.include({count: 125, validMs: 250});
    expect(lender.getTokenCount(FULL_MS + 249)).to.equal(0);
    expect(lender.getTokenCount(FULL_MS + 350)).to.equal(10);
  });

  it('lends for longer while little of the limit is used', () => {
    const lender = newLender();
    expect(ask(lender, 5, FULL_MS).validMs).to.equal(2_000);
    expect(ask(lender, 60, FULL_MS).validMs).to.equal(250);
  });

  // A return that was under way for long added permits to a later window.
  it('takes back only permits that it lent to this borrower and that are valid', () => {
    const lender = newLender();
    ask(lender, 125, FULL_MS);
    const giveBack = (borrower: string, nowMs: number) =>
      lender.lend({borrower, count: 125, returnedCount: 50}, nowMs).count;
    expect(giveBack('b', FULL_MS + 10)).to.equal(0);
    expect(giveBack('a', FULL_MS + 20)).to.equal(50);
    const late = newLender();
    ask(late, 125, FULL_MS);
    const returned = {borrower: 'a', count: 125, returnedCount: 50};
    expect(late.lend(returned, FULL_MS + 251).count).to.equal(0);
  });

  it('cuts its tokens down to a lower capacity', () => {
    const lender = newLender();
    const lower = {ratePerSecond: 10, burst: 10, capacity: 12};
    lender.setLimits(lower, FULL_MS);
    expect(lender.getTokenCount(FULL_MS)).to.equal(12);
  });
});
