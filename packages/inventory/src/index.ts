/** Records, states, changes and the INI format of the inventory. */

export * from './ids.js';
export * from './records.js';
export {MAX_RULE_URGENCY} from './constants.js';
export * from './digest.js';
export * from './state.js';
export * from './change.js';
export * from './validate_state.js';
export * from './route_table.js';
export * from './workspace_index.js';
export * from './parse_inventory.js';
