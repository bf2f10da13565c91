/** Quotas of workspaces over the whole mesh; see docs/design/QUOTAS.md. */

export * from './quota_rates.js';
export * from './token_lender.js';
export * from './permit_account.js';
export * from './retry_slots.js';
export * from './lender_votes.js';
