/** Fakes for tests of code that uses peer links. */

export * from './in_memory_network.js';
