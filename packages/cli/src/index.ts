/** Public API of the operator commands, for embedding and for tests. */

export * from './command_context.js';
export * from './commands/apply.js';
export * from './commands/validate.js';
export * from './commands/show.js';
export * from './commands/history.js';
export * from './commands/collect.js';
export * from './commands/status.js';
