/** Load models for tests and benchmarks. */

export * from './sample_run_time.js';
export * from './overload_model.js';
export * from './workspace_load.js';
