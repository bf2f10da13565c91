/** Client library for the key-value service, with client-side call limits. */

export * from './types.js';
export * from './call_errors.js';
export * from './call_limiter.js';
export * from './generations.js';
export * from './token_bucket.js';
export * from './adaptive_rate_limiter.js';
export * from './limited_store.js';
export * from './in_memory_store.js';
export * from './http_store.js';
export {decodeBase64, encodeBase64} from './etcd_messages.js';
