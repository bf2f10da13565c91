/** Execution context and exit statuses of commands. */

import type {KeyValueStore} from '@cassiaknot/store';

/** Store client and output of a command. */
export interface CommandContext {
  readonly store: KeyValueStore;
  /** Writes a line to the command's output. */
  readonly print: (line: string) => void;
  /** Writes a line to the command's error output. */
  readonly printError: (line: string) => void;
}

/** Exit status of a command. */
export enum ExitStatus {
  OK = 0,
  /** The store or a daemon was unreachable or gave no definite response. */
  UNAVAILABLE = 1,
  /** The input is invalid. */
  INVALID = 2,
  /** The change conflicts with a concurrent change. */
  CONFLICT = 3,
  /** The change may or may not have been committed. */
  UNKNOWN = 4,
}
