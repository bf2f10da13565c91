/** Limits on callers' requests and connections. */

import type {CallerLimitsRecord} from '@cassiaknot/inventory';
import type {ConnectionLimits} from './connection_guard.js';

/** Limits on requests and connections of callers. */
export type CallerLimits = Omit<CallerLimitsRecord, 'kind' | 'id'>;

/** Limits that apply until a configuration sets others. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 16 * 1024 * 1024,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};

/** Limits on connections if the settings state none. */
export const DEFAULT_CONNECTION_LIMITS: ConnectionLimits = {
  maxConnections: 2_048,
  maxPipelined: 128,
};

/**
 * Memory that a request occupies beside its body: 5 to 10 KB measured while it is
 * routed, and an answer of up to 4 KiB.
 */
export const REQUEST_BYTES = 16 * 1_024;
