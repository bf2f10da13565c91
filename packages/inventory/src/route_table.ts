/** Compiles the rules of a state into a route table for the request path. */

import type {RuleId} from './ids.js';
import type {InventoryRecord, RuleRecord, ServiceRecord} from './records.js';
import {makeRecordKey} from './records.js';
import type {ConfigurationState} from './state.js';
import {getRecordsOfKind} from './state.js';
import {compareStates} from './state_difference.js';

/** Changed records up to which a route table is derived from the one before. */
const MAX_DERIVED_CHANGES = 32;

/** Properties of a request that rules match on. */
export interface RouteQuery {
  /** Upper-case HTTP method. */
  readonly method: string;
  /** Path without the query string. */
  readonly path: string;
  /** Host header without the port; empty if there is none. */
  readonly host: string;
}

/** A rule and the service to which it routes. */
export interface Route {
  readonly rule: RuleRecord;
  readonly service: ServiceRecord;
}

/** Routes of one configuration version. */
export interface RouteTable {
  readonly version: number;
  /** All routes, in matching order. */
  readonly routes: readonly Route[];
  /**
   * For each host that a rule names, the routes that may match it, in matching
   * order. All other hosts use `wildcardRoutes`.
   */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
  /** Routes without a host, which match any host. */
  readonly wildcardRoutes: readonly Route[];
}

/**
 * Compiles the route table of a state; skips a rule if the service of its
 * `serviceId` is missing.
 */
export function compileRouteTable(state: ConfigurationState): RouteTable {
  const routes = newRoutes(state, getRecordsOfKind(state, 'rule'));
  routes.sort(compareRoutes);
  const {version} = state;
  return {version, routes, ...indexByHost(routes)};
}

/**
 * Compiles the route table of a state that follows another. After a small change of rules,
 * all routes but theirs are taken over.
 */
export function compileNextRouteTable(
  before: ConfigurationState,
  table: RouteTable,
  after: ConfigurationState,
): RouteTable {
  const {puts, removals} = compareStates(before, after);
  // No route depends on a workspace.
  const changed = [...puts, ...removals].filter(
    ({kind}) => kind !== 'workspace',
  );
  if (changed.length === 0) return {...table, version: after.version};
  if (changed.length > MAX_DERIVED_CHANGES) return compileRouteTable(after);
  const hosts = new Set<string>();
  const changedIds = new Set<RuleId>();
  for (const record of changed) {
    if (record.kind !== 'rule' || record.host === undefined) {
      return compileRouteTable(after);
    }
    hosts.add(record.host);
    changedIds.add(record.id);
  }
  const routes = table.routes.filter(({rule}) => !changedIds.has(rule.id));
  routes.push(...newRoutes(after, puts));
  routes.sort(compareRoutes);
  const routesByHost = new Map(table.routesByHost);
  for (const host of hosts) {
    const hostRoutes = routes.filter(
      ({rule}) => rule.host === host || rule.host === undefined,
    );
    const isNamed = hostRoutes.some(({rule}) => rule.host === host);
    if (isNamed) routesByHost.set(host, hostRoutes);
    else routesByHost.delete(host);
  }
  const {version} = after;
  return {version, routes, routesByHost, wildcardRoutes: table.wildcardRoutes};
}

/** Returns the first route that matches a request. */
export function findRoute(
  table: RouteTable,
  query: RouteQuery,
): Route | undefined {
  const candidates = table.routesByHost.get(query.host) ?? table.wildcardRoutes;
  for (const route of candidates) {
    if (matchesRule(route.rule, query)) return route;
  }
  return undefined;
}

function newRoutes(
  state: ConfigurationState,
  records: readonly InventoryRecord[],
): Route[] {
  const routes: Route[] = [];
  for (const rule of records) {
    if (rule.kind !== 'rule') continue;
    const service = state.records.get(makeRecordKey('service', rule.serviceId));
    if (service?.kind === 'service') routes.push({rule, service});
  }
  return routes;
}

function indexByHost(
  routes: readonly Route[],
): Pick<RouteTable, 'routesByHost' | 'wildcardRoutes'> {
  const wildcardRoutes: Route[] = [];
  const routesByHost = new Map<string, Route[]>();
  for (const route of routes) {
    const {host} = route.rule;
    if (host === undefined) {
      wildcardRoutes.push(route);
      for (const list of routesByHost.values()) list.push(route);
      continue;
    }
    const list = routesByHost.get(host);
    if (list) list.push(route);
    else routesByHost.set(host, [...wildcardRoutes, route]);
  }
  return {routesByHost, wildcardRoutes};
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
  const bySpecificity = getSpecificity(right.rule) - getSpecificity(left.rule);
  if (bySpecificity !== 0) return bySpecificity;
  return left.rule.id < right.rule.id ? -1 : 1;
}

// A path prefix has at most 500 characters, so a method outweighs any prefix,
// and a host outweighs a method with any prefix.
function getSpecificity(rule: RuleRecord): number {
  const hostWeight = rule.host === undefined ? 0 : 2_000;
  const methodWeight = rule.method === undefined ? 0 : 1_000;
  return hostWeight + methodWeight + rule.pathPrefix.length;
}
