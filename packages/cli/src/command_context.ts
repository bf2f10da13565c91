/** What every command works with. */

import type {KeyValueStore} from '@cassiaknot/store';

/** Store and output of a command. */
export interface CommandContext {
  readonly store: KeyValueStore;
  /** Writes a line for the operator. */
  readonly print: (line: string) => void;
  /** Writes a line about a failure. */
  readonly printError: (line: string) => void;
}

/** Exit status of a command. */
export enum ExitStatus {
  OK = 0,
  /** The store or a daemon could not be reached, or gave no certain answer. */
  UNAVAILABLE = 1,
  /** The input is not acceptable. */
  INVALID = 2,
  /** Another operator changed the same records. */
  CONFLICT = 3,
  /** The change may or may not have been accepted. */
  UNKNOWN = 4,
}
