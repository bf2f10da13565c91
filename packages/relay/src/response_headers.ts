/** Response headers as they are passed on to an entry. */

import {HOP_BY_HOP_HEADERS} from './header_codec.js';
import type {ResponseHeaders} from './target_client.js';

/**
 * Returns the headers to pass on as alternating names and values, without those
 * that concern one connection or are stripped.
 */
export function flattenHeaders(
  headers: ResponseHeaders,
  stripped: ReadonlySet<string>,
): string[] {
  const flat: string[] = [];
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    if (HOP_BY_HOP_HEADERS.has(name) || stripped.has(name)) continue;
    const values = Array.isArray(value) ? value : [value];
    for (const item of values) flat.push(name, item);
  }
  return flat;
}
