/**
 * Schemas for the parts of the etcd v3 HTTP/JSON gateway that the store client
 * uses. The protocol encodes 64-bit integers as decimal strings, and keys and
 * values as base64.
 */

import {z} from 'zod';

const INT64_SCHEMA = z.union([z.string(), z.number()]).transform(Number);

/** Response header with the revision of the whole store. */
const HEADER_SCHEMA = z.object({revision: INT64_SCHEMA.default(0)});

/** A key, its value and the revision of its last write. */
export const ETCD_KEY_VALUE_SCHEMA = z.object({
  key: z.string(),
  value: z.string().default(''),
  mod_revision: INT64_SCHEMA,
});

/** Response of `/v3/kv/range`. */
export const ETCD_RANGE_SCHEMA = z.object({
  header: HEADER_SCHEMA.optional(),
  kvs: z.array(ETCD_KEY_VALUE_SCHEMA).default([]),
});

/** Response of `/v3/kv/txn`. */
export const ETCD_TXN_SCHEMA = z.object({
  header: HEADER_SCHEMA,
  succeeded: z.boolean().default(false),
  responses: z
    .array(z.object({response_range: ETCD_RANGE_SCHEMA.optional()}))
    .default([]),
});

/** Response of `/v3/lease/grant`. */
export const ETCD_LEASE_SCHEMA = z.object({ID: z.string()});

/** Response of `/v3/lease/keepalive`; an expired lease has TTL 0. */
export const ETCD_KEEP_ALIVE_SCHEMA = z.object({
  result: z.object({TTL: INT64_SCHEMA.default(0)}),
});

/** One line of the response stream of `/v3/watch`. */
export const ETCD_WATCH_SCHEMA = z.object({
  result: z.object({
    canceled: z.boolean().default(false),
    events: z
      .array(
        z.object({
          type: z.string().default('PUT'),
          kv: ETCD_KEY_VALUE_SCHEMA,
        }),
      )
      .default([]),
  }),
});

/** Response whose content is not used. */
export const ETCD_ANY_SCHEMA = z.looseObject({});

/** Encodes a key or value for the gateway. */
export function encodeBase64(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

/** Decodes a key or value from the gateway. */
export function decodeBase64(text: string): string {
  return Buffer.from(text, 'base64').toString('utf8');
}

/**
 * Returns the base64 `range_end` that selects all keys with a prefix: the
 * prefix with its last byte incremented.
 */
export function getRangeEnd(prefix: string): string {
  const bytes = Buffer.from(prefix, 'utf8');
  const last = bytes.length - 1;
  bytes[last] = (bytes[last] ?? 0) + 1;
  return bytes.toString('base64');
}
