/** Embeddable coordination modules, without an HTTP server or store client. */

export * from './constants.js';
export * from './random.js';
export * from './backoff.js';
export * from './retry_budget.js';
export * from './admission_limiter.js';
export * from './rendezvous.js';
export * from './config_replica.js';
export * from './reported_versions.js';
export * from './member_table.js';
export * from './fingerprint.js';
export * from './quarantine.js';
export * from './pause_detector.js';
export * from './configuration_head.js';
export * from './configuration_log.js';
export * from './configuration_source.js';
export * from './commit_change.js';
export * from './collect_orphans.js';
export {writeSnapshot} from './snapshot_writer.js';
export * from './coordinator_options.js';
export * from './coordinator.js';
export * from './membership_view.js';
export * from './overlay_plan.js';
export * from './readiness.js';
export {SEED_PREFIX} from './actors/seeds_actor.js';
export type {OwnRecordChange} from './actors/actor_messages.js';
export type {PublishedConfiguration} from './actors/published_state.js';
