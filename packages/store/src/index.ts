/** The platform's key-value service: interface, clients and call limiter. */

export * from './types.js';
export * from './call_errors.js';
export * from './call_limiter.js';
export * from './token_bucket.js';
export * from './adaptive_rate.js';
export * from './limited_store.js';
export * from './in_memory_store.js';
export * from './http_store.js';
export {decodeBase64, encodeBase64} from './etcd_messages.js';
