import {Worker} from 'node:worker_threads';
import {expect} from 'chai';
import {MeshDaemons, waitUntil} from '../testing/mesh_daemons.js';
import type {StartedDaemon} from '../testing/mesh_daemons.js';
import type {
  CallerResult,
  OutsideCommand,
  OutsideReport,
} from '../testing/outside_worker.js';

/** Longer than a request may wait before its connection is closed (200 ms). */
const PAUSE_MS = 500;
/** Shortly before the stop looks for the first time whether callers have gone. */
const LAST_LOOK_PAUSE_AT_MS = 2_400;
const GRACE_PERIOD_MS = 4_000;
/** Before the last sixth of the grace period; the pause covers the end of the stop. */
const END_PAUSE_AT_MS = 3_100;
const TIMEOUT_MS = 10_000;
const CALLER_COUNT = 3;

/** Target and callers in a thread of their own. */
class Outside {
  readonly results: CallerResult[] = [];
  targetPort = 0;
  runningCount = 0;
  isOpened = false;
  private readonly worker = new Worker(
    new URL('../testing/outside_worker.js', import.meta.url),
  );

  constructor() {
    this.worker.on('message', (report: OutsideReport) => {
      switch (report.kind) {
        case 'listening':
          this.targetPort = report.port;
          return;
        case 'opened':
          this.isOpened = true;
          return;
        case 'running':
          this.runningCount = report.count;
          return;
        case 'result':
          this.results.push(report.result);
      }
    });
  }

  tell(command: OutsideCommand): void {
    this.worker.postMessage(command);
  }

  /** Returns the requests whose connection ended without a response. */
  findCut(): string[] {
    return this.results
      .filter(({statusLine}) => statusLine === '')
      .map(({use}) => use);
  }

  async close(): Promise<void> {
    await this.worker.terminate();
  }
}

/** Keeps the event loop from running, as a busy processor does. */
function pauseLoop(durationMs: number): void {
  const untilMs = performance.now() + durationMs;
  while (performance.now() < untilMs);
}

function sleep(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}

describe('Planned stop with a late event loop', () => {
  let outside: Outside;
  let mesh: MeshDaemons;
  let daemon: StartedDaemon;

  beforeEach(async () => {
    outside = new Outside();
    mesh = new MeshDaemons();
    await mesh.commit(TIMEOUT_MS);
    await waitUntil(() => outside.targetPort > 0);
    daemon = await mesh.start({
      instanceId: 'stopping',
      targetPort: outside.targetPort,
      gracePeriodMs: GRACE_PERIOD_MS,
    });
    daemon.announceTarget();
  });

  afterEach(async () => {
    await mesh.stop();
    await outside.close();
  });

  async function open(keptCount: number, unusedCount: number): Promise<void> {
    const port = daemon.callerPort;
    outside.tell({kind: 'open', port, keptCount, unusedCount});
    await waitUntil(() => outside.isOpened);
  }

  // The stop took connections as idle whose requests a late event loop had not read
  // yet, and closed them although the requests had been sent long before.
  it('answers the requests that arrived before it stops accepting', async () => {
    await open(CALLER_COUNT, CALLER_COUNT);
    const stopped = daemon.stop();
    await sleep(LAST_LOOK_PAUSE_AT_MS);
    outside.tell({kind: 'send', newCount: CALLER_COUNT});
    pauseLoop(PAUSE_MS);
    await waitUntil(() => outside.results.length === 3 * CALLER_COUNT);
    expect(outside.findCut()).to.deep.equal([]);
    await stopped;
  });

  // The stop reset the connections of requests in flight although their answers had
  // arrived; a late event loop had not read them yet.
  it('passes on the answers that arrived before the end of the grace period', async () => {
    await open(CALLER_COUNT, 0);
    outside.tell({kind: 'send', newCount: 0});
    await waitUntil(() => outside.runningCount === CALLER_COUNT);
    const stopped = daemon.stop();
    await sleep(END_PAUSE_AT_MS);
    outside.tell({kind: 'respond'});
    pauseLoop(PAUSE_MS);
    await waitUntil(() => outside.results.length === CALLER_COUNT);
    expect(outside.findCut()).to.deep.equal([]);
    expect(await stopped).to.equal(true);
  });
});
