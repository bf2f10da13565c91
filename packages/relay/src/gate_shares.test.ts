import type {Clock} from '@sinonjs/fake-timers';
import {install} from '@sinonjs/fake-timers';
import type {WorkspaceId} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import type {RelayFrameOf} from '@cassiaknot/peer-protocol';
import {expect} from 'chai';
import {combineUrgency} from './authentication.js';
import {toReportedPriority, toSharePriority} from './gate_shares.js';
import {ScriptedTarget} from './testing/scripted_target.js';

const HOT = brandId<WorkspaceId>('hot');
const SMALL = brandId<WorkspaceId>('small');
const SWEEP_MS = 50;
const STEP_MS = 10;
const TIMING = {
  objectiveMs: 400,
  objectiveLeftMs: 400,
  maxWaitMs: 2_000,
  urgency: combineUrgency({kind: 'workspace', id: HOT, keyDigests: []}, 1),
};

/** Loads a gate with two and a half times the work of its four slots from one workspace. */
async function loadHot(clock: Clock, target: ScriptedTarget): Promise<void> {
  target.response = {runMs: 100, headers: {}};
  for (let nowMs = 0; nowMs < 4_000; nowMs += STEP_MS) {
    target.offer(2_000, 0, true, {...TIMING, workspaceId: HOT});
    if (nowMs % 400 === 0) {
      target.offer(2_000, 0, true, {...TIMING, workspaceId: SMALL});
    }
    if (nowMs % SWEEP_MS === 0) target.sweep();
    await clock.tickAsync(STEP_MS);
  }
}

describe('Fair shares at the gate', () => {
  let clock: Clock;
  beforeEach(() => {
    clock = install();
  });
  afterEach(() => {
    clock.uninstall();
  });

  it('one hot workspace: refusals name the share as reason, and the log what decided it', async () => {
    const target = new ScriptedTarget();
    await loadHot(clock, target);
    const refusals = target.replies.filter(
      (frame): frame is RelayFrameOf<'refusal'> =>
        frame.kind === 'refusal' && frame.reason === 'over-share',
    );
    expect(refusals.length).to.be.above(50);
    const lines = target.observer.lines.filter(
      ({fields}) => fields['reason'] === 'over-share',
    );
    expect(lines).to.have.length(refusals.length);
    for (const {fields} of lines) {
      expect(fields['workspaceId']).to.equal(HOT);
      expect(fields).to.include.keys(
        'shareUseMs',
        'shareLimitMs',
        'shareDemandMs',
        'shareWaitMs',
      );
      expect(fields['waitMs']).to.be.at.least(Number(fields['shareWaitMs']));
    }
  });

  it('a small workspace beside a hot one: is refused nothing', async () => {
    const target = new ScriptedTarget();
    await loadHot(clock, target);
    const refused = target.observer.lines.filter(
      ({event, fields}) =>
        event === 'refused' && fields['workspaceId'] === SMALL,
    );
    expect(refused).to.have.length(0);
  });

  it('reads the priority of the workspace from the urgency of an offer', () => {
    const workspace = {
      kind: 'workspace' as const,
      id: HOT,
      keyDigests: [],
      urgency: 3,
    };
    const urgency = combineUrgency(workspace, 7);
    const priority = toSharePriority({urgency, workspaceId: HOT});
    expect(priority.workspaceUrgency).to.equal(3);
    expect(toSharePriority({urgency: 7})).to.deep.equal({urgency: 7});
  });

  it('reports the wait of a workspace within its share', () => {
    const offer = {urgency: 2_003, workspaceId: HOT};
    expect(toReportedPriority(offer).workspaceId).to.equal('');
    expect(toReportedPriority({urgency: 1})).to.deep.equal({urgency: 1});
  });
});
