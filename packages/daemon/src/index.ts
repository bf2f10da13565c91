/** The daemon, for embedding and for tests. */

export * from './settings.js';
export * from './logging.js';
export * from './status.js';
export * from './wire_daemon.js';
export {Daemon} from './daemon.js';
export * from './mesh/index.js';
