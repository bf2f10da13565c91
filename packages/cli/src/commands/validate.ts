/** `cassiaknot validate`: validates an inventory file without the store. */

import {describeProblem, newState, validateState} from '@cassiaknot/inventory';
import type {CommandContext} from '../command_context.js';
import {ExitStatus} from '../command_context.js';
import {readInventory} from '../read_inventory.js';

/** Validates a file and prints every problem. */
export async function runValidate(
  context: CommandContext,
  file: string,
): Promise<ExitStatus> {
  const records = await readInventory(context, file);
  if (!records) return ExitStatus.INVALID;
  const problems = validateState(newState(0, records));
  for (const problem of problems) {
    context.printError(`Invalid: ${describeProblem(problem)}`);
  }
  if (problems.length > 0) return ExitStatus.INVALID;
  context.print(`Valid: ${records.size} records.`);
  return ExitStatus.OK;
}
