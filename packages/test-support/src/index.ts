/** Fakes and process control for tests, benchmarks and the demo. */

export * from './fake_store_server.js';
export * from './targets/fake_target.js';
export * from './child_processes.js';
export * from './test_mesh.js';
export * from './inventories.js';
export * from './mesh_caller.js';
export * from './call_history.js';
