/** Fakes for the tests of whoever uses a store. */

export * from './faulty_store.js';
