/** Timeouts and limits of the request path. */

/** Timeout of a request if its route sets none; callers can only shorten it. */
export const DEFAULT_TIMEOUT_MS = 5_000;
/** Latency objective of a route that sets none. */
export const DEFAULT_OBJECTIVE_MS = 500;
/** Maximum number of attempts that reach a target, if the route sets none. */
export const DEFAULT_MAX_ATTEMPTS = 2;
/** Urgency of a route that sets none. */
export const DEFAULT_URGENCY = 1;
/**
 * Maximum number of offers with a limited wait before one that may wait until
 * the deadline.
 */
export const MAX_BOUNDED_OFFERS = 3;
/** Maximum wait of such an offer, as a share of the latency objective. */
export const BOUNDED_WAIT_SHARE = 0.2;
/** Age up to which a long reported wait rules out an offer to its gate. */
export const WAIT_REPORT_TTL_MS = 60;
/** Connect timeout for the target, which runs on the same machine. */
export const TARGET_CONNECT_TIMEOUT_MS = 300;
/** Time after the deadline for which a response of the target is awaited. */
export const TARGET_RESPONSE_GRACE_MS = 60;
/**
 * Time after the deadline for which an entry awaits the reply to a pending offer:
 * the grace of the gate, and the way back.
 */
export const REPLY_GRACE_MS = 150;
/** Pool connections beyond the number of slots, as some may be closing. */
export const SPARE_TARGET_CONNECTIONS = 4;
/**
 * Limits on the responses that are being read; a response above them is reported
 * as lost. Instances have 250 MB, and a complete response is copied twice on its
 * way to the link.
 */
export const RESPONSE_MEMORY_LIMITS = {
  maxResponseBytes: 24 * 1024 * 1024,
  maxTotalBytes: 40 * 1024 * 1024,
};
/** Minimum time without a response before a busy target is probed. */
export const TARGET_STALL_MS = 1_000;
/** Interval of the checks for stalled targets, late jobs and silent links. */
export const SWEEP_INTERVAL_MS = 50;
/**
 * Time after a foreign response for which non-idempotent requests use new
 * connections.
 */
export const FOREIGN_RESPONSE_TTL_MS = 30_000;
/**
 * A response lost at most this long before the target refused a connection is
 * attributed to a crash of the target.
 */
export const CRASH_WINDOW_MS = 1_500;
/**
 * Time after an offer on an idle link without any frame after which the link is
 * pinged. Most calls are shorter, so that they cause no ping.
 */
export const LINK_PING_AFTER_MS = 200;
/** Time between further pings while requests are in flight. */
export const LINK_PING_INTERVAL_MS = 400;
/**
 * Idle time after which a link is verified before it carries a request that must
 * not be sent twice.
 */
export const LINK_VERIFY_AFTER_MS = 200;
/** Time without a reply to a ping after which a link is suspect. */
export const LINK_SUSPECT_AFTER_MS = 350;
/** Time without a reply to a ping after which a link is aborted. */
export const LINK_ABORT_AFTER_MS = 1_500;
/** Links to gates that are opened at once; each handshake delays the event loop. */
export const MAX_PENDING_DIALS = 8;
/** Time after which a link that has not opened no longer holds up others. */
export const PENDING_DIAL_MS = 300;
/** Limits of the backoff before a gate is redialled. */
export const MIN_REDIAL_DELAY_MS = 50;
export const MAX_REDIAL_DELAY_MS = 1_000;
/** Time for which a member missing from the view or dead is still redialled. */
export const MEMBER_RETENTION_MS = 15_000;
/** Retry-After of refusals without a more specific one, such as `no-target`. */
export const RETRY_AFTER_MS = 400;
/** Minimum Retry-After, so that refused callers do not retry at once. */
export const MIN_RETRY_AFTER_MS = 30;
