/** Compiles a state's rules into a table that the request path reads. */

import type {RuleRecord, ServiceRecord} from './records.js';
import {makeRecordKey} from './records.js';
import type {ConfigurationState} from './state.js';
import {getRecordsOfKind} from './state.js';

/** The parts of a request that rules look at. */
export interface RouteQuery {
  /** Upper-case HTTP method. */
  readonly method: string;
  /** Path without the query string. */
  readonly path: string;
  /** Host header without the port, or empty. */
  readonly host: string;
}

/** A rule together with the service it points at. */
export interface Route {
  readonly rule: RuleRecord;
  readonly service: ServiceRecord;
}

/** Routes of one version, in matching order. */
export interface RouteTable {
  readonly version: number;
  readonly routes: readonly Route[];
  /** The routes that may match a host, in matching order. */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
  /** The routes that name no host. */
  readonly routesOfAnyHost: readonly Route[];
}

/** Builds the table of a valid state; a rule without its service is left out. */
export function compileRouteTable(state: ConfigurationState): RouteTable {
  const routes: Route[] = [];
  for (const rule of getRecordsOfKind(state, 'rule')) {
    const key = makeRecordKey('service', rule.serviceId);
    const service = state.records.get(key);
    if (service?.kind !== 'service') continue;
    routes.push({rule, service});
  }
  routes.sort(compareRoutes);
  const {version} = state;
  return {version, routes, ...indexByHost(routes)};
}

/** Returns the first route that matches, or undefined. */
export function findRoute(
  table: RouteTable,
  query: RouteQuery,
): Route | undefined {
  const candidates =
    table.routesByHost.get(query.host) ?? table.routesOfAnyHost;
  for (const route of candidates) {
    if (matchesRule(route.rule, query)) return route;
  }
  return undefined;
}

function indexByHost(
  routes: readonly Route[],
): Pick<RouteTable, 'routesByHost' | 'routesOfAnyHost'> {
  const routesOfAnyHost: Route[] = [];
  const routesByHost = new Map<string, Route[]>();
  for (const route of routes) {
    const {host} = route.rule;
    if (host === undefined) {
      routesOfAnyHost.push(route);
      for (const list of routesByHost.values()) list.push(route);
      continue;
    }
    const list = routesByHost.get(host);
    if (list) list.push(route);
    else routesByHost.set(host, [...routesOfAnyHost, route]);
  }
  return {routesByHost, routesOfAnyHost};
}

function matchesRule(rule: RuleRecord, query: RouteQuery): boolean {
  if (rule.host !== undefined && rule.host !== query.host) return false;
  if (rule.method !== undefined && rule.method !== query.method) return false;
  return matchesPathPrefix(rule.pathPrefix, query.path);
}

function matchesPathPrefix(prefix: string, path: string): boolean {
  if (!path.startsWith(prefix)) return false;
  if (prefix.endsWith('/') || path.length === prefix.length) return true;
  return path[prefix.length] === '/';
}

function compareRoutes(left: Route, right: Route): number {
  const byPriority = left.rule.priority - right.rule.priority;
  if (byPriority !== 0) return byPriority;
  const bySpecificity = specificityOf(right.rule) - specificityOf(left.rule);
  if (bySpecificity !== 0) return bySpecificity;
  return left.rule.id < right.rule.id ? -1 : 1;
}

function specificityOf(rule: RuleRecord): number {
  const hostWeight = rule.host === undefined ? 0 : 2_000;
  const methodWeight = rule.method === undefined ? 0 : 1_000;
  return hostWeight + methodWeight + rule.pathPrefix.length;
}
