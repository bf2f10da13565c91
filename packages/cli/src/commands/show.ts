/** `cassiaknot show`: prints the configuration in force as an inventory. */

import {formatInventory} from '@cassiaknot/inventory';
import type {CommandContext} from '../command_context.js';
import {ExitStatus} from '../command_context.js';
import {readCurrent} from '../read_current.js';

/** Prints the inventory. */
export async function runShow(context: CommandContext): Promise<ExitStatus> {
  const current = await readCurrent(context);
  if (!current) return ExitStatus.UNAVAILABLE;
  context.print(`; version ${current.head.version}`);
  context.print(formatInventory(current.state.records));
  return ExitStatus.OK;
}
