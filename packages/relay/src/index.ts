/**
 * The request path over multiplexed links between daemons, run by `MeshDaemon`
 * (packages/daemon/src/mesh) for the adapter in platform/; it calls no store on
 * the path of a request. The other one, packages/proxy, is the request path over
 * HTTP with idempotency claims in the store, run by `cassiaknotd`
 * (packages/daemon/src/daemon.ts).
 */

export * from './constants.js';
export * from './outcome.js';
export * from './header_codec.js';
export * from './observer.js';
export * from './target_announcement.js';
export * from './target_client.js';
export * from './target_session.js';
export * from './local_target.js';
export * from './gate.js';
export * from './local_link.js';
export * from './gate_link.js';
export * from './gate_directory.js';
export * from './entry_types.js';
export * from './entry.js';
export * from './mesh_quotas.js';
export * from './routed_request.js';
export * from './caller_server.js';
export * from './loop_delay.js';
export * from './transit_delay.js';
