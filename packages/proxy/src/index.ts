/**
 * The request path over HTTP between daemons, with idempotency claims in the
 * store, run by `cassiaknotd` (packages/daemon/src/daemon.ts). The one over
 * multiplexed links, without store calls on the path of a request, is
 * packages/relay, run by `MeshDaemon` for the adapter in platform/.
 */

export * from './constants.js';
export * from './headers.js';
export * from './outcome.js';
export * from './deadline.js';
export * from './slot_queue.js';
export * from './target_client.js';
export * from './target_session.js';
export * from './target_registry.js';
export * from './gate.js';
export * from './gate_client.js';
export * from './gate_health.js';
export * from './balancer.js';
export * from './entry.js';
export * from './entry_server.js';
export * from './gate_server.js';
export * from './http_server.js';
export {refuseWhileDraining} from './write_outcome.js';
export * from './latency_window.js';
export * from './meter.js';
export * from './claims/claims.js';
export * from './claims/claim_record.js';
