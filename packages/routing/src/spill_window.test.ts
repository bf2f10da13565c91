import {expect} from 'chai';
import {MAX_SPILL_HOLD_MS, SPILL_SILENCE_MS} from './constants.js';
import {SpillWindow} from './spill_window.js';

describe('SpillWindow', () => {
  let window: SpillWindow;

  beforeEach(() => {
    window = new SpillWindow();
  });

  function fill(nowMs: number): number {
    let count = 0;
    while (window.mayOffer(nowMs)) {
      window.recordOffer();
      count += 1;
    }
    return count;
  }

  // All entries of a data centre would otherwise meet in another one at once, on
  // figures from before a partition.
  it('starts small, grows with answers, and starts small again after a silence', () => {
    const first = fill(0);
    for (let index = 0; index < first; index += 1) window.recordAnswer(10);
    const second = fill(10);
    expect(second).to.be.above(first);
    for (let index = 0; index < second; index += 1) window.recordAnswer(20);
    expect(fill(20 + SPILL_SILENCE_MS + 1)).to.equal(first);
  });

  // Offers to a data centre that can't serve them cost bytes and time at both ends.
  it('sends nothing for a while after a refusal, and longer after each further one', () => {
    window.recordOffer();
    window.recordRefusal(0, 0);
    expect(window.mayOffer(0)).to.equal(false);
    const waits: number[] = [];
    let nowMs = 0;
    for (let index = 0; index < 6; index += 1) {
      const heldAtMs = nowMs;
      while (!window.mayOffer(nowMs)) nowMs += 1;
      waits.push(nowMs - heldAtMs);
      window.recordOffer();
      window.recordRefusal(0, nowMs);
    }
    expect(waits[1]).to.be.above(waits[0] ?? 0);
    expect(Math.max(...waits)).to.be.at.most(MAX_SPILL_HOLD_MS);
  });

  it('waits as long as the other side says, up to a limit', () => {
    window.recordOffer();
    window.recordRefusal(400, 0);
    expect(window.mayOffer(399)).to.equal(false);
    expect(window.mayOffer(400)).to.equal(true);
    window.recordOffer();
    window.recordRefusal(1e9, 400);
    expect(window.mayOffer(400 + MAX_SPILL_HOLD_MS)).to.equal(true);
  });

  // A window whose requests are lost with a link would never open again.
  it('frees the room of requests without a reply', () => {
    const count = fill(0);
    for (let index = 0; index < count; index += 1) window.recordOther();
    expect(fill(0)).to.equal(count);
  });
});
