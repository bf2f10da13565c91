import {expect} from 'chai';
import fc from 'fast-check';
import type {Job} from './job.js';
import {KindService} from './kind_service.js';
import {orderByShares} from './share_order.js';
import {SlotScheduler} from './slot_scheduler.js';
import {WorkspaceShares} from './workspace_shares.js';

const SEED = 20261207;
const RUN_COUNT = 300;
const SLOTS = 2;
const WORKSPACES = ['a', 'b', 'c', undefined] as const;

interface QueuedJob {
  readonly job: Job;
  state: 'queued' | 'started' | 'finished' | 'refused';
}

interface Offer {
  readonly kind: 'offer';
  readonly workspace: number;
  readonly urgency: number;
  readonly expectedRunMs: number;
  readonly objectiveMs: number;
  readonly extraMs: number;
}

type Step =
  | Offer
  | {readonly kind: 'finish'}
  | {readonly kind: 'wait'; readonly ms: number};

const STEP: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('offer' as const),
      // The first workspace sends half of the jobs.
      workspace: fc.oneof(fc.constant(0), fc.nat(WORKSPACES.length - 1)),
      urgency: fc.nat(1),
      expectedRunMs: fc.constantFrom(50, 100, 200),
      objectiveMs: fc.constantFrom(400, 900),
      extraMs: fc.constantFrom(0, 600),
    }),
  },
  {weight: 2, arbitrary: fc.constant({kind: 'finish' as const})},
  {
    weight: 3,
    arbitrary: fc.record({kind: fc.constant('wait' as const), ms: fc.nat(120)}),
  },
);

/** Runs steps and hands each shed job and the queue that is left to a check. */
class ShedRecorder {
  private readonly scheduler = new SlotScheduler(SLOTS);
  private readonly jobs: QueuedJob[] = [];
  private nowMs = 0;
  shedCount = 0;

  run(steps: readonly Step[]): void {
    for (const step of steps) {
      switch (step.kind) {
        case 'offer':
          this.offer(step);
          break;
        case 'finish':
          this.finishFirst();
          break;
        case 'wait':
          this.nowMs += step.ms;
          this.sweep();
          break;
      }
    }
  }

  private offer(step: Offer): void {
    const objectiveAtMs = this.nowMs + step.objectiveMs;
    const queued: QueuedJob = {
      state: 'queued',
      job: {
        urgency: step.urgency,
        workspaceId: WORKSPACES[step.workspace],
        expectedRunMs: step.expectedRunMs,
        objectiveAtMs,
        deadlineAtMs: objectiveAtMs + step.extraMs,
        maxWaitMs: Infinity,
        start: () => {
          queued.state = 'started';
        },
        refuse: () => {
          queued.state = 'refused';
        },
      },
    };
    this.jobs.push(queued);
    const {kind} = this.scheduler.offer(queued.job, this.nowMs);
    if (kind === 'refused') queued.state = 'refused';
  }

  private finishFirst(): void {
    const running = this.jobs.find(({state}) => state === 'started');
    if (!running) return;
    running.state = 'finished';
    this.scheduler.finish(running.job, this.nowMs);
  }

  private sweep(): void {
    const before = this.jobs.filter(({state}) => state === 'queued');
    const hasShares = this.scheduler.hasStandingQueue(this.nowMs);
    const below = before.filter(
      ({job}) => job.workspaceId !== undefined && !this.isOver(job),
    );
    const over = before.filter(({job}) => this.isOver(job));
    this.scheduler.sweep(this.nowMs);
    if (!hasShares) return;
    for (const shed of below.filter(({state}) => state === 'refused')) {
      this.shedCount += 1;
      for (const kept of over.filter(({state}) => state === 'queued')) {
        expect(
          isNoEasier(kept.job, shed.job),
          'shed below the level while one above it is queued',
        ).to.equal(false);
      }
    }
  }

  private isOver({workspaceId}: Job): boolean {
    if (workspaceId === undefined) return false;
    const share = this.scheduler.getShare(workspaceId, this.nowMs);
    return share !== undefined && share.useMs > share.limitMs;
  }
}

// A job that needs less time, or has more, may be served where the other can't be.
function isNoEasier(kept: Job, shed: Job): boolean {
  return (
    kept.urgency === shed.urgency &&
    kept.expectedRunMs >= shed.expectedRunMs &&
    kept.objectiveAtMs <= shed.objectiveAtMs &&
    kept.deadlineAtMs <= shed.deadlineAtMs
  );
}

describe('Order by fair shares', () => {
  it('one hot workspace: sheds no job below the fair level while one above it is queued in the same urgency', () => {
    let shedCount = 0;
    fc.assert(
      fc.property(fc.array(STEP, {minLength: 40, maxLength: 150}), steps => {
        const recorder = new ShedRecorder();
        recorder.run(steps);
        shedCount += recorder.shedCount;
      }),
      {seed: SEED, numRuns: RUN_COUNT},
    );
    expect(shedCount).to.be.above(RUN_COUNT / 10);
  });

  // The guaranteed part of a hot workspace let it take the slots of large ones.
  it('a hot and a large workspace above the level: serves the one that exceeds it by less first', () => {
    const shares = new WorkspaceShares();
    const serve = (workspaceId: string, served: number, offered: number) => {
      for (let index = 0; index < offered; index += 1) {
        const job = {workspaceId, expectedRunMs: 100};
        shares.recordOffer(job, 0);
        if (index < served) shares.recordStart(job, 0);
      }
    };
    serve('hot', 10, 50);
    serve('large', 3, 6);
    for (let index = 0; index < 10; index += 1) serve(`small-${index}`, 0, 2);
    const queue = ['hot', 'large', 'small-1'].map(workspaceId => ({
      workspaceId,
      urgency: 1,
      expectedRunMs: 100,
    }));
    const order = orderByShares(queue, shares, new KindService(), 0);
    const places = order.map(({job, level}) => [job.workspaceId, level]);
    expect(places).to.deep.equal([
      ['small-1', 'within'],
      ['large', 'over'],
      ['hot', 'over'],
    ]);
  });
});
