/** A daemon with multiplexed request links. */

export * from './bounded_output.js';
export * from './decision_log.js';
export * from './mesh_meter.js';
export * from './mesh_options.js';
export * from './mesh_daemon.js';
