/**
 * Schemas of the etcd v3 HTTP/JSON gateway, as far as the store client uses
 * it. 64-bit integers are decimal strings and keys and values are base64, as
 * that protocol defines.
 */

import {z} from 'zod';

const INT64 = z.union([z.string(), z.number()]).transform(Number);

/** Response header; `revision` is the store's. */
const HEADER_SCHEMA = z.object({revision: INT64.default(0)});

/** A key with its value and revisions. */
export const ETCD_KEY_VALUE_SCHEMA = z.object({
  key: z.string(),
  value: z.string().default(''),
  mod_revision: INT64,
});

/** Answer of `/v3/kv/range`. */
export const ETCD_RANGE_SCHEMA = z.object({
  kvs: z.array(ETCD_KEY_VALUE_SCHEMA).default([]),
});

/** Answer of `/v3/kv/txn`. */
export const ETCD_TXN_SCHEMA = z.object({
  header: HEADER_SCHEMA,
  succeeded: z.boolean().default(false),
  responses: z
    .array(z.object({response_range: ETCD_RANGE_SCHEMA.optional()}))
    .default([]),
});

/** Answer of `/v3/lease/grant`. */
export const ETCD_LEASE_SCHEMA = z.object({ID: z.string()});

/** Answer of `/v3/lease/keepalive`; a lease that has ended has TTL 0. */
export const ETCD_KEEP_ALIVE_SCHEMA = z.object({
  result: z.object({TTL: INT64.default(0)}),
});

/** One line of the stream of `/v3/watch`. */
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

/** Any answer whose body is not read. */
export const ETCD_ANY_SCHEMA = z.looseObject({});

/** Encodes a key or value for the gateway. */
export function encodeBase64(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

/** Decodes a key or value from the gateway. */
export function decodeBase64(text: string): string {
  return Buffer.from(text, 'base64').toString('utf8');
}

/** Returns the end of the range of all keys that start with `prefix`. */
export function getRangeEnd(prefix: string): string {
  const bytes = Buffer.from(prefix, 'utf8');
  const last = bytes.length - 1;
  bytes[last] = (bytes[last] ?? 0) + 1;
  return bytes.toString('base64');
}
