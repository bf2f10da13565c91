/** Limits of the request path. */

/** Largest request body that is taken. */
export const MAX_REQUEST_BYTES = 1024 * 1024;
/** Largest answer that is held back until it is whole. */
export const MAX_HELD_ANSWER_BYTES = 256 * 1024;
/** Largest answer kept with a finished claim. */
export const MAX_KEPT_ANSWER_BYTES = 16 * 1024;
/** Deepest chain of calls. */
export const MAX_DEPTH = 32;
/** Attempts for one request, the first included. */
export const MAX_ATTEMPTS = 4;
/** Time an entry allows a gate beyond the deadline to report the outcome. */
export const GATE_GRACE_MS = 100;
/** Time limit of a connection to a gate or a target. */
export const CONNECT_TIMEOUT_MS = 500;
/** Longest time limit that a caller may ask for. */
export const MAX_TIMEOUT_MS = 600_000;
