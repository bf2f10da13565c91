/** Fakes for tests of code that uses a store. */

export * from './faulty_store.js';
