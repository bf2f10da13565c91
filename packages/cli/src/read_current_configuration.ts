/** Reads the current configuration from the store. */

import type {ConfigurationHead} from '@cassiaknot/coordination';
import {ConfigurationLog, describeLogError} from '@cassiaknot/coordination';
import type {ConfigurationState} from '@cassiaknot/inventory';
import type {CommandContext} from './command_context.js';

/** The configuration head and the state that it refers to. */
export interface CurrentConfiguration {
  readonly head: ConfigurationHead;
  readonly state: ConfigurationState;
}

/** Returns the current configuration, or undefined after printing the error. */
export async function readCurrentConfiguration(
  context: CommandContext,
): Promise<CurrentConfiguration | undefined> {
  const log = new ConfigurationLog(context.store);
  const headResult = await log.readHead();
  if (headResult.isErr()) {
    context.printError(describeLogError(headResult.error));
    return undefined;
  }
  const {head} = headResult.value;
  const state = await log.readState(head);
  if (state.isOk()) return {head, state: state.value};
  context.printError(describeLogError(state.error));
  return undefined;
}
