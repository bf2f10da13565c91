import type {Clock} from '@sinonjs/fake-timers';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {ScriptedTarget} from './testing/scripted_target.js';

const RUN_MS = 40;

describe('Targets that report their pace', () => {
  let clock: Clock;
  let target: ScriptedTarget;

  beforeEach(() => {
    clock = install();
    target = new ScriptedTarget();
  });
  afterEach(() => {
    clock.uninstall();
  });

  async function run(
    count: number,
    runMs: number,
    headers: Record<string, string>,
  ): Promise<void> {
    target.response = {runMs, headers};
    for (let index = 0; index < count; index += 1) {
      target.offer(2_000, 0);
      await clock.tickAsync(runMs);
    }
  }

  function getLastReply() {
    const reply = target.replies.at(-1);
    if (reply?.kind !== 'answer') throw new Error('no answer');
    return reply;
  }

  // A run time measured in a slow moment was taken for usual, so that the target
  // got too little work afterwards.
  it('are expected to take their usual run time at their current pace', async () => {
    await run(20, RUN_MS, {pace: '1'});
    await run(10, 2 * RUN_MS, {pace: '2'});
    expect(getLastReply().runMs).to.be.within(1.8 * RUN_MS, 2.1 * RUN_MS);
    expect(getLastReply().pace).to.be.within(1.8, 2);
    await run(10, RUN_MS, {pace: '1'});
    expect(getLastReply().runMs).to.be.within(0.9 * RUN_MS, 1.2 * RUN_MS);
  });

  // Other deployments must be served as before.
  it('are the only ones for which gates report a pace and a limit', async () => {
    await run(5, RUN_MS, {});
    expect(getLastReply().pace).to.equal(undefined);
    expect(getLastReply().limit).to.equal(undefined);
    target.offer(2_000, 0, true, {maxFinishMs: 1});
    expect(target.getRefusalReasons()).to.deep.equal([]);
  });

  // The figures of an entry are seconds old, so it offered requests to targets that
  // were slow by then.
  it('decline what others are expected to run sooner', async () => {
    await run(20, RUN_MS, {pace: '1'});
    target.offer(2_000, 0, true, {maxFinishMs: 2 * RUN_MS});
    expect(target.getRefusalReasons()).to.deep.equal([]);
    await run(5, 5 * RUN_MS, {pace: '5'});
    target.offer(2_000, 0, true, {maxFinishMs: 2 * RUN_MS});
    expect(target.getRefusalReasons()).to.deep.equal(['slow']);
    target.offer(2_000, 0);
    expect(target.getRefusalReasons()).to.have.length(1);
  });

  // A refusal takes 1 ms. As a run time, it made a target that refused look fast,
  // so that it got even more requests.
  it('do not look fast because they refuse', async () => {
    await run(20, RUN_MS, {pace: '1'});
    await run(20, 1, {pace: '1', 'not-run': '1'});
    await run(1, RUN_MS, {pace: '1'});
    expect(getLastReply().runMs).to.be.within(0.9 * RUN_MS, 1.1 * RUN_MS);
  });

  // A limit that shrank with each refusal fell to 1 while a target in trouble refused
  // half of its requests at any load, so that the others found no place.
  it('keep their limit while they refuse', async () => {
    await run(5, RUN_MS, {pace: '1'});
    for (let index = 0; index < 40; index += 1) {
      await clock.tickAsync(200);
      await run(1, 1, {pace: '1', 'not-run': '1'});
    }
    const before = target.requests.length;
    for (let index = 0; index < 4; index += 1) target.offer(2_000, 0);
    expect(target.requests.length - before).to.equal(4);
  });
});
