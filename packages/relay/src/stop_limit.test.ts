import type {Clock} from '@sinonjs/fake-timers';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {ScriptedTarget} from './testing/scripted_target.js';

const RUN_MS = 400;
const DEADLINE_MS = 3_000;
const LEFT_MS = 1_000;

describe('Gate that stops', () => {
  let clock: Clock;
  beforeEach(() => {
    clock = install();
  });
  afterEach(() => {
    clock.uninstall();
  });

  // The limit held for new offers only: one that was queued when the stop began was
  // started, though it could outlast the process and can't be repeated.
  it('starts no queued run that it may not complete', async () => {
    const target = new ScriptedTarget(1);
    target.response = {runMs: RUN_MS, headers: {}};
    target.offer(DEADLINE_MS, 0, false);
    target.offer(DEADLINE_MS, 0, false);
    target.gate.limitRuns(performance.now() + LEFT_MS);
    await clock.tickAsync(2 * RUN_MS);
    expect(target.requests).to.have.length(1);
    expect(target.getRefusalReasons()).to.deep.equal(['stopping']);
  });
});
