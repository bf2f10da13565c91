/** Limits on the connections to the servers of a daemon. */

import type {Server} from 'node:http';
import {createServer} from 'node:http';
import type {PublishedConfiguration} from '@cassiaknot/coordination';
import {makeRecordKey} from '@cassiaknot/inventory';
import type {
  CallerLimits,
  ConnectionLimits,
  RelayObserver,
} from '@cassiaknot/relay';
import {
  ConnectionGuard,
  DEFAULT_CALLER_LIMITS,
  DEFAULT_CONNECTION_LIMITS,
} from '@cassiaknot/relay';
import type {Registry} from 'prom-client';

/** Key of the configuration record that holds the limits for callers. */
const CALLER_LIMITS_KEY = makeRecordKey('caller-limits', 'default');

/**
 * Share of the descriptors for connections of callers; the rest is for links, peers,
 * targets, the store and files.
 */
const CALLER_FD_SHARE = 0.5;
const METRICS_CONNECTION_LIMITS: ConnectionLimits = {
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

/** Returns the limits on callers' requests of a configuration. */
export function findCallerLimits({
  state,
}: PublishedConfiguration): CallerLimits {
  const record = state.records.get(CALLER_LIMITS_KEY);
  return record?.kind === 'caller-limits' ? record : DEFAULT_CALLER_LIMITS;
}

/** Creates the server that responds with the metrics, with bounded connections. */
export function createMetricsServer(
  registry: Registry,
  observer: RelayObserver,
): Server {
  const server = createServer((_request, response) => {
    void registry.metrics().then(text => {
      response.setHeader('content-type', registry.contentType);
      response.end(text);
    });
  });
  const limits = METRICS_CONNECTION_LIMITS;
  new ConnectionGuard(server, {name: 'metrics', limits, observer});
  return server;
}
