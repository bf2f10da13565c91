/** Meshes in memory for tests and benchmarks. */

export * from './memory_network.js';
export * from './quota_mesh.js';
