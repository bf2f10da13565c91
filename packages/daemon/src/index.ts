/** Public API of the daemon, for embedding and for tests. */

export * from './settings.js';
export * from './logging.js';
export * from './status.js';
export * from './daemon_factory.js';
export {Daemon} from './daemon.js';
export * from './mesh/index.js';
