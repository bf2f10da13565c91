/** Stand-ins and process control for tests, benchmarks and demonstration. */

export * from './store_stand_in.js';
export * from './targets/target_stand_in.js';
export * from './child_processes.js';
export * from './test_mesh.js';
export * from './inventories.js';
export * from './call_mesh.js';
export * from './call_ledger.js';
