/** A fleet of coordinators in one process, for tests and measurements. */

export * from './test_fleet.js';
