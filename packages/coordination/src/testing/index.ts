/** A fleet of coordinators in one process, for tests and benchmarks. */

export * from './test_fleet.js';
