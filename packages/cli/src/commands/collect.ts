/**
 * `cassiaknot collect`: deletes orphaned changes and snapshots. Nothing refers
 * to them, for example because their writers died before the commit.
 */

import {collectOrphans, describeLogError} from '@cassiaknot/coordination';
import type {CommandContext} from '../command_context.js';
import {ExitStatus} from '../command_context.js';

/** Deletes the keys that are orphaned at two scans, `ageMs` apart. */
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
