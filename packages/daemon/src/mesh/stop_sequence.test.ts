import type {Clock} from '@sinonjs/fake-timers';
import FakeTimers from '@sinonjs/fake-timers';
import {expect} from 'chai';
import type {StoppableParts} from './stop_sequence.js';
import {runStopSequence} from './stop_sequence.js';

const GRACE_MS = 6_000;
/** Time in which a platform sees two failed readiness checks. */
const ROTATION_MS = 2_000;

/** Parts that record when each step was taken. */
class FakeParts implements StoppableParts {
  readonly steps = new Map<string, number>();
  openRequests = 0;
  lastRequestMs = 0;

  beginDrain(): void {
    this.record('drain');
  }

  closeGate(): void {
    this.record('close-gate');
  }

  releaseCallers(): void {
    this.record('release-callers');
  }

  stopAccepting(): void {
    this.record('stop-accepting');
  }

  countOpenRequests(): number {
    return this.openRequests;
  }

  getCallerIdleMs(): number {
    return performance.now() - this.lastRequestMs;
  }

  getStepMs(step: string): number {
    return this.steps.get(step) ?? NaN;
  }

  private record(step: string): void {
    this.steps.set(step, performance.now());
  }
}

describe('Planned stop', () => {
  let clock: Clock;

  beforeEach(() => {
    clock = FakeTimers.install();
  });

  afterEach(() => {
    clock.uninstall();
  });

  it('serves the live target until callers have been led away', async () => {
    const parts = new FakeParts();
    const stopped = runStopSequence(parts, GRACE_MS);
    await clock.tickAsync(GRACE_MS);
    expect(await stopped).to.equal(true);
    expect(parts.getStepMs('drain')).to.equal(0);
    expect(parts.getStepMs('close-gate')).to.be.above(ROTATION_MS);
    expect(parts.getStepMs('release-callers')).to.be.above(ROTATION_MS);
  });

  it('leaves the entries time to learn that the gate is closed', async () => {
    const parts = new FakeParts();
    let endedMs = NaN;
    void runStopSequence(parts, GRACE_MS).then(() => {
      endedMs = performance.now();
    });
    await clock.tickAsync(GRACE_MS);
    expect(endedMs - parts.getStepMs('close-gate')).to.be.at.least(200);
  });

  it('accepts connections while callers keep coming, within bounds', async () => {
    const parts = new FakeParts();
    const caller = setInterval(() => {
      parts.lastRequestMs = performance.now();
    }, 100);
    const stopped = runStopSequence(parts, GRACE_MS);
    await clock.tickAsync(GRACE_MS);
    clearInterval(caller);
    await stopped;
    expect(parts.getStepMs('stop-accepting')).to.be.within(3_000, 4_000);
  });

  it('waits for open requests, but ends before it is killed', async () => {
    const parts = new FakeParts();
    parts.openRequests = 1;
    let isWhole: boolean | undefined;
    void runStopSequence(parts, GRACE_MS).then(result => {
      isWhole = result;
    });
    await clock.tickAsync(5_000);
    expect(isWhole).to.equal(undefined);
    await clock.tickAsync(999);
    expect(isWhole).to.equal(false);
  });

  it('ends soon after the last request', async () => {
    const parts = new FakeParts();
    parts.openRequests = 1;
    let endedMs = NaN;
    void runStopSequence(parts, GRACE_MS).then(() => {
      endedMs = performance.now();
    });
    await clock.tickAsync(4_000);
    parts.openRequests = 0;
    await clock.tickAsync(1_000);
    expect(endedMs).to.be.within(4_000, 4_200);
  });
});
