/** Fakes for the tests of whoever uses links. */

export * from './in_memory_network.js';
