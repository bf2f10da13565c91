/**
 * Runs a fake target as a child process. It sends `started`, each `run` and
 * `drained` to its parent over IPC, and drains when it receives `drain`.
 */

import {z} from 'zod';
import type {TargetRun} from './fake_target.js';
import {FakeTarget} from './fake_target.js';

const OPTIONS_SCHEMA = z.object({
  serviceId: z.string(),
  slots: z.number(),
  connections: z.number(),
  warmUpMs: z.number(),
  operatorUrl: z.string(),
  announceIntervalMs: z.number(),
});

/** Exit status after a request with the query parameter `crash`. */
const CRASH_EXIT_STATUS = 13;

const options = OPTIONS_SCHEMA.parse(JSON.parse(process.argv[2] ?? ''));
const target = new FakeTarget(options, {
  onRun: run => report(run),
  onCrash: () => process.exit(CRASH_EXIT_STATUS),
});

process.on('message', message => {
  if (message === 'drain') void drain();
});
process.on('disconnect', () => process.exit(0));
await target.start();
process.send?.({kind: 'started'});

async function drain(): Promise<void> {
  await target.drain();
  process.send?.({kind: 'drained'});
  process.exit(0);
}

function report(run: TargetRun): void {
  process.send?.({kind: 'run', run});
}
