/** Limits on identifiers and defaults of inventory records. */

/** Longest identifier, in characters. */
export const MAX_ID_CHARS = 64;
/** Identifiers: letters, digits, dot, dash and underscore. */
export const ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]*$/;
/** Time limit of a request whose service sets none. */
export const DEFAULT_TIMEOUT_MS = 5_000;
/** Requests that may wait at one gate when the service sets no bound. */
export const DEFAULT_QUEUE_LIMIT = 64;
/** Priority of a rule that sets none; lower numbers match first. */
export const DEFAULT_RULE_PRIORITY = 100;
/** Most records in one state. */
export const MAX_RECORDS = 20_000;
