/** Classifies failed calls by whether a write may have taken effect. */

import type {StoreError} from './types.js';

/** Whether a call may change stored data. */
export type CallKind = 'read' | 'write';

/** Error codes raised before any byte of the call was sent. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'UND_ERR_CONNECT_TIMEOUT',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

/**
 * Returns the store error for a call that threw: `unavailable` if it could not
 * connect; otherwise a write may have taken effect.
 */
export function toStoreError(kind: CallKind, error: unknown): StoreError {
  const message = error instanceof Error ? error.message : String(error);
  const code = getErrorCode(error);
  if (code !== undefined && CONNECT_ERROR_CODES.has(code)) {
    return {kind: 'unavailable', message: `${code}: ${message}`};
  }
  return callFailed(kind, message);
}

/**
 * Returns the store error for a call that was sent but got no valid response: a
 * write may have taken effect.
 */
export function callFailed(kind: CallKind, message: string): StoreError {
  return {kind: kind === 'write' ? 'ambiguous' : 'unavailable', message};
}

function getErrorCode(error: unknown): string | undefined {
  if (!(error instanceof Error) || !('code' in error)) return undefined;
  return typeof error.code === 'string' ? error.code : undefined;
}
