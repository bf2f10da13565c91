import {expect} from 'chai';
import fc from 'fast-check';
import type {Job} from './job.js';
import {SlotScheduler} from './slot_scheduler.js';

const SEED = 20261204;
const RUN_COUNT = 300;

interface RecordedJob {
  readonly job: Job;
  state: 'offered' | 'started' | 'finished' | 'refused' | 'cancelled';
  startedAtMs: number | undefined;
}

interface JobFields {
  readonly urgency?: number;
  readonly expectedRunMs?: number;
  readonly objectiveAtMs?: number;
  readonly deadlineAtMs?: number;
  readonly maxWaitMs?: number;
  readonly isFromElsewhere?: boolean;
}

/** Offers jobs and records the state of each. */
class JobRecorder {
  readonly jobs: RecordedJob[] = [];
  nowMs = 0;

  constructor(readonly scheduler: SlotScheduler) {}

  offer(fields: JobFields = {}): RecordedJob {
    const {
      urgency = 1,
      expectedRunMs = 100,
      objectiveAtMs = 10_000,
      deadlineAtMs = 10_000,
      maxWaitMs = 10_000,
      isFromElsewhere,
    } = fields;
    const recorded: RecordedJob = {
      state: 'offered',
      startedAtMs: undefined,
      job: {
        urgency,
        expectedRunMs,
        objectiveAtMs,
        deadlineAtMs,
        maxWaitMs,
        isFromElsewhere,
        start: () => {
          expect(recorded.state, 'started twice').to.equal('offered');
          recorded.state = 'started';
          recorded.startedAtMs = this.nowMs;
        },
        refuse: () => {
          expect(recorded.state, 'refused after start').to.equal('offered');
          recorded.state = 'refused';
        },
      },
    };
    this.jobs.push(recorded);
    const result = this.scheduler.offer(recorded.job, this.nowMs);
    if (result.kind === 'refused') recorded.state = 'refused';
    return recorded;
  }

  finishFirst(): void {
    const running = this.jobs.find(({state}) => state === 'started');
    if (!running) return;
    running.state = 'finished';
    this.scheduler.finish(running.job, this.nowMs);
  }

  count(state: RecordedJob['state']): number {
    return this.jobs.filter(job => job.state === state).length;
  }
}

describe('Slot scheduler', () => {
  // Demand from a data centre at its peak would push aside the callers of another.
  it('starts callers of its own data centre before others of equal urgency', () => {
    const recorder = new JobRecorder(new SlotScheduler(1));
    recorder.offer();
    const elsewhere = recorder.offer({
      isFromElsewhere: true,
      expectedRunMs: 50,
    });
    const urgent = recorder.offer({isFromElsewhere: true, urgency: 0});
    const own = recorder.offer();
    recorder.finishFirst();
    expect(urgent.state).to.equal('started');
    recorder.finishFirst();
    expect([own.state, elsewhere.state]).to.deep.equal(['started', 'offered']);
  });

  it('refuses at once the jobs of a burst that can not meet their deadline', () => {
    const recorder = new JobRecorder(new SlotScheduler(2));
    for (let index = 0; index < 40; index += 1) {
      recorder.offer({deadlineAtMs: 400});
    }
    // Two jobs run; up to six can wait 300 ms for a slot and run for 100 ms.
    expect(recorder.count('started')).to.equal(2);
    expect(recorder.count('offered')).to.be.within(4, 6);
    expect(recorder.count('refused')).to.be.at.least(32);
  });

  it('mixed urgency: serves more urgent jobs first', () => {
    const recorder = new JobRecorder(new SlotScheduler(1));
    recorder.offer();
    const lessUrgent = recorder.offer({urgency: 2});
    const moreUrgent = recorder.offer({urgency: 1});
    recorder.finishFirst();
    expect(moreUrgent.state).to.equal('started');
    expect(lessUrgent.state).to.equal('offered');
  });

  it('mixed urgency: sheds a less urgent job that would miss its deadline', () => {
    const recorder = new JobRecorder(new SlotScheduler(1));
    recorder.offer();
    const lessUrgent = recorder.offer({urgency: 2, deadlineAtMs: 250});
    recorder.offer({urgency: 1});
    recorder.scheduler.sweep(0);
    expect(lessUrgent.state).to.equal('refused');
  });

  it('meets the objective of most jobs under sustained overload', () => {
    const scheduler = new SlotScheduler(1);
    const recorder = new JobRecorder(scheduler);
    let inTime = 0;
    // Work of 100 ms arrives every 80 ms, with an objective of 400 ms.
    for (let nowMs = 0; nowMs < 40_000; nowMs += 20) {
      recorder.nowMs = nowMs;
      if (nowMs % 100 === 0) recorder.finishFirst();
      scheduler.sweep(nowMs);
      if (nowMs % 80 !== 0) continue;
      recorder.offer({
        objectiveAtMs: nowMs + 400,
        deadlineAtMs: nowMs + 1_000,
      });
    }
    for (const {job, startedAtMs} of recorder.jobs) {
      if (startedAtMs === undefined) continue;
      if (startedAtMs + job.expectedRunMs <= job.objectiveAtMs) inTime += 1;
    }
    expect(inTime / recorder.jobs.length).to.be.above(0.7);
  });

  it('short deadline: starts no run that would probably exceed its deadline', () => {
    const recorder = new JobRecorder(new SlotScheduler(1));
    expect(recorder.offer({deadlineAtMs: 30}).state).to.equal('refused');
    expect(recorder.offer({deadlineAtMs: 60}).state).to.equal('started');
  });

  it('refuses all queued jobs of a lost target', () => {
    const recorder = new JobRecorder(new SlotScheduler(1));
    for (let index = 0; index < 5; index += 1) recorder.offer();
    recorder.scheduler.refuseWaiting();
    expect(recorder.count('refused')).to.equal(4);
    expect(recorder.scheduler.getLoad().waiting).to.equal(0);
  });

  it('spillover: refuses a job whose wait would exceed the limit of the sender', () => {
    const recorder = new JobRecorder(new SlotScheduler(1));
    recorder.offer();
    expect(recorder.offer({maxWaitMs: 50}).state).to.equal('refused');
    expect(recorder.offer({maxWaitMs: 150}).state).to.equal('offered');
  });

  it('never exceeds the number of slots and ends each job exactly once', () => {
    const step = fc.oneof(
      fc.record({
        kind: fc.constant('offer' as const),
        urgency: fc.nat(3),
        expectedRunMs: fc.integer({min: 1, max: 200}),
        deadlineMs: fc.integer({min: 0, max: 600}),
      }),
      fc.constant({kind: 'finish' as const}),
      fc.record({kind: fc.constant('wait' as const), ms: fc.nat(100)}),
      fc.record({kind: fc.constant('slots' as const), slots: fc.nat(4)}),
    );
    fc.assert(
      fc.property(fc.array(step, {maxLength: 80}), steps => {
        const recorder = new JobRecorder(new SlotScheduler(3));
        let slots = 3;
        for (const action of steps) {
          const before = recorder.count('started');
          switch (action.kind) {
            case 'offer':
              recorder.offer({
                ...action,
                deadlineAtMs: recorder.nowMs + action.deadlineMs,
              });
              break;
            case 'finish':
              recorder.finishFirst();
              break;
            case 'wait':
              recorder.nowMs += action.ms;
              recorder.scheduler.sweep(recorder.nowMs);
              break;
            case 'slots':
              slots = action.slots + 1;
              recorder.scheduler.setSlots(slots, recorder.nowMs);
              break;
          }
          const after = recorder.count('started');
          expect(after).to.be.at.most(Math.max(slots, before));
          const {running, waiting} = recorder.scheduler.getLoad();
          expect(running).to.equal(after);
          expect(waiting).to.equal(recorder.count('offered'));
        }
        for (const {job, startedAtMs} of recorder.jobs) {
          if (startedAtMs === undefined) continue;
          expect(startedAtMs).to.be.below(job.deadlineAtMs);
        }
      }),
      {seed: SEED, numRuns: RUN_COUNT},
    );
  });
});
