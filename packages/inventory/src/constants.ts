/** Limits and default values of inventory records. */

/** Maximum length of an identifier, in characters. */
export const MAX_ID_CHARS = 64;
/**
 * Identifiers consist of letters, digits, dots, dashes and underscores, and
 * start with a letter or a digit.
 */
export const ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]*$/;
/** Request timeout of a service that sets none. */
export const DEFAULT_TIMEOUT_MS = 5_000;
/** Requests that may queue at one gate, for a service that sets no limit. */
export const DEFAULT_QUEUE_LIMIT = 64;
/** Matching priority of a rule that sets none; lower numbers match first. */
export const DEFAULT_RULE_PRIORITY = 100;
/** Highest urgency of a rule; higher numbers are served later. */
export const MAX_RULE_URGENCY = 1_000;
/** Length of a digest, in characters. */
export const KEY_DIGEST_CHARS = 22;
/** Maximum number of keys of one workspace. */
export const MAX_WORKSPACE_KEYS = 10_000;
/** Maximum number of records in a state that a daemon is built to hold. */
export const MAX_RECORDS = 20_000;
