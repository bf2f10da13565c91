import {expect} from 'chai';
import fc from 'fast-check';
import {MAX_SHARE_ACCOUNTS} from './constants.js';
import {computeFairLevel} from './fair_level.js';
import {WorkspaceShares} from './workspace_shares.js';

const SEED = 20261207;
const RUN_COUNT = 300;

function newJob(workspaceId: string, expectedRunMs = 100) {
  return {workspaceId, expectedRunMs};
}

function serve(
  shares: WorkspaceShares,
  workspaceId: string,
  jobCount: number,
): void {
  for (let index = 0; index < jobCount; index += 1) {
    const job = newJob(workspaceId);
    shares.recordOffer(job, 0);
    shares.recordStart(job, 0);
  }
}

function ask(
  shares: WorkspaceShares,
  workspaceId: string,
  jobCount: number,
): void {
  for (let index = 0; index < jobCount; index += 1) {
    shares.recordOffer(newJob(workspaceId), 0);
  }
}

describe('Fair level', () => {
  it('random demands: uses the capacity, and gives none less than a smaller one gets', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 1, max: 10_000}), {minLength: 1}),
        fc.integer({min: 10, max: 99}),
        (demands, percent) => {
          const sum = demands.reduce((total, demand) => total + demand, 0);
          const capacity = (sum * percent) / 100;
          const minPart = (0.3 * percent) / 100;
          const level = computeFairLevel(demands, capacity, minPart);
          const shares = demands.map(demand =>
            Math.max(Math.min(demand, level), minPart * demand),
          );
          const used = shares.reduce((total, share) => total + share, 0);
          expect(used).to.be.closeTo(capacity, capacity / 100);
          const highest = Math.max(...demands);
          expect(level).to.be.below(highest);
        },
      ),
      {seed: SEED, numRuns: RUN_COUNT},
    );
  });

  it('enough capacity: has no level', () => {
    expect(computeFairLevel([10, 20], 30, 0.1)).to.equal(Infinity);
  });
});

describe('Shares of workspaces', () => {
  it('one hot workspace: only it is above its share', () => {
    const shares = new WorkspaceShares();
    serve(shares, 'hot', 30);
    ask(shares, 'hot', 70);
    serve(shares, 'small', 5);
    ask(shares, 'small', 1);
    const hot = shares.getShare('hot', 0);
    const small = shares.getShare('small', 0);
    expect(hot?.useMs).to.be.above(hot?.limitMs ?? Infinity);
    expect(small?.useMs).to.be.below(small?.limitMs ?? 0);
    expect(shares.countOverShare(0)).to.equal(1);
    expect(hot?.waitMs).to.be.within(1_000, 5_000);
  });

  it('a load that has ended: its workspace is below its share some seconds later', () => {
    const shares = new WorkspaceShares();
    serve(shares, 'hot', 30);
    ask(shares, 'hot', 70);
    serve(shares, 'other', 5);
    const nowMs = 3_000;
    for (let index = 0; index < 20; index += 1) {
      const job = newJob('other');
      shares.recordOffer(job, nowMs);
      shares.recordStart(job, nowMs);
      shares.recordOffer(newJob('other'), nowMs);
    }
    const hot = shares.getShare('hot', nowMs);
    expect(hot?.useMs).to.be.below(hot?.limitMs ?? 0);
  });

  it('runs longer than expected: charges the actual run time', () => {
    const shares = new WorkspaceShares();
    const job = newJob('a', 100);
    shares.recordOffer(job, 0);
    shares.recordStart(job, 0);
    shares.recordFinish(job, 400);
    expect(shares.getShare('a', 400)?.useMs).to.be.closeTo(387, 1);
  });

  it('thousands of workspaces: keeps a bounded number of accounts, the recent ones', () => {
    const shares = new WorkspaceShares();
    for (let index = 0; index < 3 * MAX_SHARE_ACCOUNTS; index += 1) {
      shares.recordOffer(newJob(`w${index}`), index);
    }
    expect(shares.getAccountCount()).to.equal(MAX_SHARE_ACCOUNTS);
    const lastMs = 3 * MAX_SHARE_ACCOUNTS;
    expect(shares.getShare(`w${lastMs - 1}`, lastMs)).to.not.equal(undefined);
    expect(shares.getShare('w0', lastMs)).to.equal(undefined);
  });

  it('jobs without a workspace: have no account', () => {
    const shares = new WorkspaceShares();
    shares.recordOffer({expectedRunMs: 100}, 0);
    expect(shares.getAccountCount()).to.equal(0);
  });
});
