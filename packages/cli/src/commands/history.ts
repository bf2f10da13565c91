/** `cassiaknot history`: lists the most recent accepted changes. */

import {ConfigurationLog, describeLogError} from '@cassiaknot/coordination';
import type {CommandContext} from '../command_context.js';
import {ExitStatus} from '../command_context.js';

/** Prints one line per accepted change, newest last. */
export async function runHistory(context: CommandContext): Promise<ExitStatus> {
  const log = new ConfigurationLog(context.store);
  const headResult = await log.readHead();
  if (headResult.isErr()) {
    context.printError(describeLogError(headResult.error));
    return ExitStatus.UNAVAILABLE;
  }
  const {head} = headResult.value;
  const oldestVersion = head.history[0]?.version ?? 1;
  const changes = await log.readChangesAfter(head, oldestVersion - 1);
  if (changes.isErr()) {
    context.printError(describeLogError(changes.error));
    return ExitStatus.UNAVAILABLE;
  }
  for (const {version, change} of changes.value ?? []) {
    const {author, changeId, puts, removes} = change;
    const summary = `${puts.length} put, ${removes.length} removed`;
    context.print(`${version}  ${author}  ${summary}  ${changeId}`);
  }
  return ExitStatus.OK;
}
