/** Limits on the connections to the servers of a daemon. */

import type {ConnectionLimits} from '@cassiaknot/relay';
import {DEFAULT_CONNECTION_LIMITS} from '@cassiaknot/relay';

/**
 * Share of the descriptors for connections of callers; the rest is for links, peers,
 * targets, the store and files.
 */
const CALLER_FD_SHARE = 0.5;
export const METRICS_CONNECTION_LIMITS: ConnectionLimits = {
  maxConnections: 16,
  maxPipelined: 4,
};
/** The platform and targets keep a few connections and send one request at a time. */
export const SIDE_CONNECTION_LIMITS: ConnectionLimits = {
  maxConnections: 64,
  maxPipelined: 8,
};

/** Returns the limits for callers in a process that may open so many descriptors. */
export function getCallerConnectionLimits(
  maxFds: number | undefined,
): ConnectionLimits {
  if (maxFds === undefined) return DEFAULT_CONNECTION_LIMITS;
  const maxConnections = Math.floor(maxFds * CALLER_FD_SHARE);
  return {...DEFAULT_CONNECTION_LIMITS, maxConnections};
}
