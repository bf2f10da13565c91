/**
 * Digests of records and of sets of records. A set is hashed in key order, so
 * processes that hold the same records compute the same digest.
 */

import {hash} from 'node:crypto';
import type {Digest, RecordKey} from './ids.js';
import {brandId} from './ids.js';
import type {InventoryRecord} from './records.js';

const recordDigests = new WeakMap<InventoryRecord, Digest>();

/** Characters that encode the first 126 of the 128 bits of a digest in base64url. */
const WHOLE_CHARS = 21;
/** The next character encodes the last two bits of a digest, followed by zeros. */
const LAST_CHARS = ['A', 'Q', 'g', 'w'];
const BASE64URL_CHARS =
  'ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_';

/** Returns the first 128 bits of the SHA-256 hash of a text in base64url. */
export function digestText(text: string): Digest {
  const encoded = hash('sha256', text, 'base64url');
  const sixBits = BASE64URL_CHARS.indexOf(encoded.charAt(WHOLE_CHARS));
  const lastChar = LAST_CHARS[sixBits >> 4] ?? '';
  return brandId<Digest>(encoded.slice(0, WHOLE_CHARS) + lastChar);
}

/** Serialises a value as JSON with sorted object keys. */
export function toCanonicalJson(value: unknown): string {
  // A replacer makes the runtime serialise several times slower, and records that have
  // passed their schema are sorted.
  return hasSortedKeys(value)
    ? JSON.stringify(value)
    : JSON.stringify(value, sortObjectKeys);
}

/** Hashes one record; the result is cached as long as the object lives. */
export function digestRecord(record: InventoryRecord): Digest {
  const cached = recordDigests.get(record);
  if (cached !== undefined) return cached;
  const digest = digestText(toCanonicalJson(record));
  recordDigests.set(record, digest);
  return digest;
}

/** Hashes a set of records independently of their insertion order. */
export function digestRecords(
  records: ReadonlyMap<RecordKey, InventoryRecord>,
): Digest {
  const digests: Digest[] = [];
  for (const key of [...records.keys()].sort()) {
    const record = records.get(key);
    if (record !== undefined) digests.push(digestRecord(record));
  }
  return digestText(digests.join(''));
}

function hasSortedKeys(value: unknown): boolean {
  if (value === null || typeof value !== 'object') return true;
  if (Array.isArray(value)) return value.every(hasSortedKeys);
  let previousKey = '';
  for (const [key, child] of Object.entries(value)) {
    if (key < previousKey || !hasSortedKeys(child)) return false;
    previousKey = key;
  }
  return true;
}

function sortObjectKeys(_key: string, value: unknown): unknown {
  if (value === null || typeof value !== 'object' || Array.isArray(value)) {
    return value;
  }
  const entries = Object.entries(value);
  entries.sort(([left], [right]) => (left < right ? -1 : 1));
  return Object.fromEntries(entries);
}
