/** Load policies: pure logic without network access or a clock. */

export * from './concurrency_limit.js';
export * from './constants.js';
export * from './ewma.js';
export * from './job.js';
export * from './pace.js';
export * from './service_load.js';
export * from './slot_scheduler.js';
export * from './spill_window.js';
export * from './target_choice.js';
export type {WorkspaceShare} from './workspace_shares.js';
export * from './target_ranking.js';
export * from './sliding_retry_budget.js';
export * from './weighted_round_robin.js';
export * from './quota/index.js';
