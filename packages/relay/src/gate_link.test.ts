import type {InstanceId, RuleId} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import {install} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {LINK_ABORT_AFTER_MS, LINK_PING_AFTER_MS} from './constants.js';
import {GateLink} from './gate_link.js';
import {IDLE_LINK, SERVICE, newAnswer} from './testing/scripted_gates.js';

const OFFER = {
  requestId: 'r1',
  serviceId: SERVICE,
  ruleId: brandId<RuleId>('r'),
  method: 'POST',
  path: '/x',
  headers: [],
  body: new Uint8Array(),
  callerServiceId: 'c',
  remainingMs: 5_000,
  maxWaitMs: 5_000,
  objectiveMs: 100,
  objectiveLeftMs: 100,
  urgency: 1,
  isIdempotent: false,
};

/** A link to a gate that opens and reports the start of its target. */
class ReopenedLink {
  readonly gateLink = new GateLink(
    brandId<InstanceId>('g'),
    true,
    () => undefined,
  );
  private readonly events = this.gateLink.getEvents();

  open(startedAtMs: number): void {
    this.events.onOpen(IDLE_LINK);
    this.events.onFrame(IDLE_LINK, {
      kind: 'target-state',
      serviceId: SERVICE,
      isAccepting: true,
      slots: 4,
      coldMs: 0,
      targetId: 't',
      startedAtMs,
    });
  }

  close(): void {
    this.events.onClose(IDLE_LINK);
  }

  answer(isTargetLeaving: boolean): void {
    this.events.onFrame(IDLE_LINK, newAnswer(isTargetLeaving));
  }

  isAccepting(): boolean | undefined {
    return this.gateLink.getTargetState()?.isAccepting;
  }
}

describe('Gate link', () => {
  // A target may say that it leaves in its responses alone and announce itself as
  // ready. A gate that restarts meanwhile accepts requests for it again.
  it('remembers that a target leaves when the gate has restarted', () => {
    const link = new ReopenedLink();
    link.open(1);
    link.answer(false);
    expect(link.isAccepting()).to.equal(true);
    link.answer(true);
    link.close();
    link.open(1);
    expect(link.isAccepting()).to.equal(false);
    link.close();
    link.open(2);
    expect(link.isAccepting()).to.equal(true);
  });

  // After a delay of the event loop, the periodic check ran before the replies were read
  // that had arrived meanwhile: it ended the link, and every request on it was lost.
  it('is not ended for replies that a late event loop has not read', async () => {
    const clock = install();
    try {
      let isAborted = false;
      const link = {
        ...IDLE_LINK,
        abort: () => {
          isAborted = true;
        },
      };
      const gateLink = new GateLink(
        brandId<InstanceId>('g'),
        true,
        () => undefined,
      );
      const events = gateLink.getEvents();
      events.onOpen(link);
      const {callId, reply} = gateLink.offer(OFFER);
      await clock.tickAsync(LINK_PING_AFTER_MS);
      gateLink.sweep();
      clock.jump(2 * LINK_ABORT_AFTER_MS);
      gateLink.sweep();
      events.onFrame(link, {...newAnswer(false), callId});
      expect(isAborted).to.equal(false);
      expect((await reply).kind).to.equal('answer');
    } finally {
      clock.uninstall();
    }
  });
});
