/** `cassiaknot apply`: updates the configuration to match an inventory file. */

import {
  Backoff,
  SeededRandom,
  commitChange,
  describeLogError,
} from '@cassiaknot/coordination';
import type {CommitError} from '@cassiaknot/coordination';
import type {Change} from '@cassiaknot/inventory';
import {
  describeProblem,
  diffStates,
  getRecordKey,
  isEmptyChange,
} from '@cassiaknot/inventory';
import type {CommandContext} from '../command_context.js';
import {ExitStatus} from '../command_context.js';
import {readCurrentConfiguration} from '../read_current_configuration.js';
import {readInventory} from '../read_inventory.js';

/** Arguments of `cassiaknot apply`. */
export interface ApplyArgs {
  readonly file: string;
  readonly author: string;
  /** Prints the change without committing it. */
  readonly dryRun: boolean;
}

const MAX_ATTEMPTS = 12;
const MIN_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 2_000;

/** Commits the difference between the current configuration and the file. */
export async function runApply(
  context: CommandContext,
  args: ApplyArgs,
): Promise<ExitStatus> {
  const desired = await readInventory(context, args.file);
  if (!desired) return ExitStatus.INVALID;
  const current = await readCurrentConfiguration(context);
  if (!current) return ExitStatus.UNAVAILABLE;
  const change = diffStates(current.state, desired, args.author);
  if (isEmptyChange(change)) {
    context.print(`Nothing to change at version ${current.head.version}.`);
    return ExitStatus.OK;
  }
  printChange(context, change);
  if (args.dryRun) return ExitStatus.OK;
  const commitResult = await commitChange(change, {
    store: context.store,
    backoff: newBackoff(),
    maxAttempts: MAX_ATTEMPTS,
  });
  if (commitResult.isErr()) return reportError(context, commitResult.error);
  const {version} = commitResult.value;
  context.print(`Accepted as version ${version} (${change.changeId}).`);
  return ExitStatus.OK;
}

function printChange(context: CommandContext, change: Change): void {
  for (const record of change.puts) {
    context.print(`put ${getRecordKey(record)}`);
  }
  for (const key of change.removes) context.print(`remove ${key}`);
}

function newBackoff(): Backoff {
  const options = {
    minDelayMs: MIN_RETRY_DELAY_MS,
    maxDelayMs: MAX_RETRY_DELAY_MS,
  };
  return new Backoff(options, new SeededRandom(Date.now()));
}

function reportError(context: CommandContext, error: CommitError): ExitStatus {
  switch (error.kind) {
    case 'conflict':
      context.printError(
        `Conflict: ${error.author} changed ${error.recordKey} ` +
          `in version ${error.version}. Nothing was changed.`,
      );
      return ExitStatus.CONFLICT;
    case 'base-too-old':
      context.printError(
        `Conflict: base version ${error.baseVersion} is not in the change ` +
          'history. Run the command again to start from the latest version.',
      );
      return ExitStatus.CONFLICT;
    case 'invalid':
      for (const problem of error.problems) {
        context.printError(`Invalid: ${describeProblem(problem)}`);
      }
      return ExitStatus.INVALID;
    case 'not-committed':
      context.printError(
        `The change was not committed: ${describeLogError(error.error)}`,
      );
      return ExitStatus.UNAVAILABLE;
    case 'unknown':
      context.printError(
        `Commit outcome unknown: ${describeLogError(error.error)}. ` +
          'Run the command again; it is idempotent.',
      );
      return ExitStatus.UNKNOWN;
  }
}
