/** Limits of the request path. */

/** Maximum size of a request body. */
export const MAX_REQUEST_BYTES = 1024 * 1024;
/** Largest response body that is buffered completely before forwarding. */
export const MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024;
/** Largest response body stored with a finished claim for replay. */
export const MAX_STORED_RESPONSE_BYTES = 16 * 1024;
/** Maximum depth of a chain of nested calls. */
export const MAX_CALL_DEPTH = 32;
/** Maximum attempts per request, including the first. */
export const MAX_ATTEMPTS = 4;
/** Time that an entry waits past the deadline for a gate's outcome. */
export const GATE_GRACE_MS = 100;
/** Timeout for connecting to a gate or a target. */
export const CONNECT_TIMEOUT_MS = 500;
/** Largest valid value of the timeout header. */
export const MAX_TIMEOUT_MS = 600_000;
