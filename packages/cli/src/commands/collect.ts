/** `cassiaknot collect`: deletes what writers that died have left. */

import {collectOrphans, describeLogError} from '@cassiaknot/coordination';
import type {CommandContext} from '../command_context.js';
import {ExitStatus} from '../command_context.js';

/** Looks twice, `ageMs` apart, and deletes what nobody uses. */
export async function runCollect(
  context: CommandContext,
  ageMs: number,
): Promise<ExitStatus> {
  const collected = await collectOrphans(context.store, ageMs);
  if (collected.isErr()) {
    context.printError(describeLogError(collected.error));
    return ExitStatus.UNAVAILABLE;
  }
  context.print(`Deleted ${collected.value} keys.`);
  return ExitStatus.OK;
}
