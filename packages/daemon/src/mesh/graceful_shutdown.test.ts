import type {Clock} from '@sinonjs/fake-timers';
import FakeTimers from '@sinonjs/fake-timers';
import {expect} from 'chai';
import type {ShutdownHooks} from './graceful_shutdown.js';
import {shutDownGracefully} from './graceful_shutdown.js';

const GRACE_PERIOD_MS = 6_000;
/** Time in which the platform sees two failed readiness checks. */
const READINESS_DETECTION_MS = 2_000;

/** Records the time of each shutdown step. */
class FakeShutdownHooks implements ShutdownHooks {
  readonly steps = new Map<string, number>();
  inFlightRequests = 0;
  lastRequestMs = 0;
  serveUntilMs = NaN;
  handleRead: () => void = () => undefined;

  beginDrain(): void {
    this.record('begin-drain');
  }

  closeGate(): void {
    this.record('close-gate');
  }

  drainCallerConnections(serveUntilMs: number): void {
    this.serveUntilMs = serveUntilMs;
    this.record('drain-callers');
  }

  stopAccepting(): void {
    this.record('stop-accepting');
  }

  readArrived(): Promise<void> {
    this.handleRead();
    return Promise.resolve();
  }

  refuseRequests(): void {
    this.record('refuse-requests');
  }

  abortInFlight(): void {
    this.record('abort');
  }

  getInFlightCount(): number {
    return this.inFlightRequests;
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

describe('Graceful shutdown', () => {
  let clock: Clock;

  beforeEach(() => {
    clock = FakeTimers.install();
  });

  afterEach(() => {
    clock.uninstall();
  });

  it('keeps the gate open until readiness checks have failed', async () => {
    const hooks = new FakeShutdownHooks();
    const shutdown = shutDownGracefully(hooks, GRACE_PERIOD_MS);
    await clock.tickAsync(GRACE_PERIOD_MS);
    expect(await shutdown).to.equal(true);
    expect(hooks.getStepMs('begin-drain')).to.equal(0);
    expect(hooks.getStepMs('close-gate')).to.be.above(READINESS_DETECTION_MS);
    expect(hooks.getStepMs('drain-callers')).to.be.above(
      READINESS_DETECTION_MS,
    );
  });

  it('limits requests to what can be complete when it ends', async () => {
    const hooks = new FakeShutdownHooks();
    hooks.inFlightRequests = 1;
    let endedMs = NaN;
    void shutDownGracefully(hooks, GRACE_PERIOD_MS).then(() => {
      endedMs = performance.now();
    });
    await clock.tickAsync(GRACE_PERIOD_MS);
    expect(hooks.serveUntilMs).to.be.above(
      hooks.getStepMs('drain-callers') + READINESS_DETECTION_MS,
    );
    expect(hooks.serveUntilMs).to.be.below(endedMs);
  });

  it('gives entries time to learn that the gate has closed', async () => {
    const hooks = new FakeShutdownHooks();
    let endedMs = NaN;
    void shutDownGracefully(hooks, GRACE_PERIOD_MS).then(() => {
      endedMs = performance.now();
    });
    await clock.tickAsync(GRACE_PERIOD_MS);
    expect(endedMs - hooks.getStepMs('close-gate')).to.be.at.least(200);
  });

  it('accepts connections from active callers until a deadline', async () => {
    const hooks = new FakeShutdownHooks();
    const requestTimer = setInterval(() => {
      hooks.lastRequestMs = performance.now();
    }, 100);
    const shutdown = shutDownGracefully(hooks, GRACE_PERIOD_MS);
    await clock.tickAsync(GRACE_PERIOD_MS);
    clearInterval(requestTimer);
    await shutdown;
    expect(hooks.getStepMs('stop-accepting')).to.be.within(3_000, 4_000);
  });

  it('waits for requests in flight, but not beyond the grace period', async () => {
    const hooks = new FakeShutdownHooks();
    hooks.inFlightRequests = 1;
    let isGraceful: boolean | undefined;
    void shutDownGracefully(hooks, GRACE_PERIOD_MS).then(result => {
      isGraceful = result;
    });
    await clock.tickAsync(5_000);
    expect(isGraceful).to.equal(undefined);
    expect(hooks.steps.has('abort')).to.equal(false);
    await clock.tickAsync(999);
    expect(isGraceful).to.equal(false);
    expect(hooks.steps.has('abort')).to.equal(true);
  });

  it('ends shortly after the last request completes', async () => {
    const hooks = new FakeShutdownHooks();
    hooks.inFlightRequests = 1;
    let endedMs = NaN;
    void shutDownGracefully(hooks, GRACE_PERIOD_MS).then(() => {
      endedMs = performance.now();
    });
    await clock.tickAsync(4_000);
    hooks.inFlightRequests = 0;
    await clock.tickAsync(1_000);
    expect(endedMs).to.be.within(4_000, 4_200);
  });

  // A late event loop runs the timers of a stop before it reads what arrived meanwhile.
  // The stop took the callers for idle and reset connections whose requests were unread.
  it('reads what arrived during a delay before it takes callers for idle', async () => {
    const hooks = new FakeShutdownHooks();
    const arrivalMs = 2_500;
    const delayEndMs = 2_900;
    hooks.handleRead = () => {
      const isUnread = hooks.lastRequestMs < arrivalMs;
      if (isUnread && performance.now() >= delayEndMs) {
        hooks.lastRequestMs = performance.now();
      }
    };
    const shutdown = shutDownGracefully(hooks, GRACE_PERIOD_MS);
    await clock.tickAsync(arrivalMs - 100);
    clock.jump(delayEndMs - arrivalMs + 100);
    await clock.tickAsync(GRACE_PERIOD_MS);
    expect(await shutdown).to.equal(true);
    expect(hooks.getStepMs('stop-accepting')).to.be.above(delayEndMs + 200);
  });

  // After a delay across the end of the grace period, responses that had arrived in time
  // were cut, since the timer of the end ran before they were read.
  it('lets responses that arrived during a delay be written before it ends', async () => {
    const hooks = new FakeShutdownHooks();
    hooks.inFlightRequests = 1;
    let readCount = 0;
    hooks.handleRead = () => {
      if (performance.now() < 5_450) return;
      readCount += 1;
      // Reading a response and writing it take several turns.
      if (readCount === 2) hooks.inFlightRequests = 0;
    };
    const shutdown = shutDownGracefully(hooks, GRACE_PERIOD_MS);
    await clock.tickAsync(4_950);
    clock.jump(500);
    await clock.tickAsync(500);
    expect(await shutdown).to.equal(true);
    expect(hooks.steps.has('abort')).to.equal(false);
  });

  // Requests that came between the last check and the end of the process were passed on
  // and cut.
  it('refuses the requests that come after nothing was in flight', async () => {
    const hooks = new FakeShutdownHooks();
    let endedMs = NaN;
    void shutDownGracefully(hooks, GRACE_PERIOD_MS).then(() => {
      endedMs = performance.now();
    });
    await clock.tickAsync(GRACE_PERIOD_MS);
    expect(hooks.getStepMs('refuse-requests')).to.equal(endedMs);
  });
});
