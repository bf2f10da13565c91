/** `cassiaknot show`: prints the current configuration as an inventory. */

import {formatInventory} from '@cassiaknot/inventory';
import type {CommandContext} from '../command_context.js';
import {ExitStatus} from '../command_context.js';
import {readCurrentConfiguration} from '../read_current_configuration.js';

/** Prints the version and records of the current configuration. */
export async function runShow(context: CommandContext): Promise<ExitStatus> {
  const current = await readCurrentConfiguration(context);
  if (!current) return ExitStatus.UNAVAILABLE;
  context.print(`; version ${current.head.version}`);
  context.print(formatInventory(current.state.records));
  return ExitStatus.OK;
}
