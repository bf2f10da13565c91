/** A target stand-in as a process of its own, controlled over IPC. */

import {z} from 'zod';
import type {TargetRun} from './target_stand_in.js';
import {TargetStandIn} from './target_stand_in.js';

const OPTIONS_SCHEMA = z.object({
  serviceId: z.string(),
  slots: z.number(),
  connections: z.number(),
  warmUpMs: z.number(),
  operatorUrl: z.string(),
  announceMs: z.number(),
});

/** Exit status of a target that a request crashed. */
const EXIT_CRASHED = 13;

const options = OPTIONS_SCHEMA.parse(JSON.parse(process.argv[2] ?? ''));
const target = new TargetStandIn(options, {
  onRun: run => report(run),
  onCrash: () => process.exit(EXIT_CRASHED),
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
