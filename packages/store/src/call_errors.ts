/** What an error of a call says of the store: whether a write may have run. */

import type {StoreError} from './types.js';

/** Whether a call changes something. */
export type CallKind = 'read' | 'write';

/** Errors at which no byte of the call was sent. */
const UNSENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'UND_ERR_CONNECT_TIMEOUT',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

/** The error of a call whose connection failed. */
export function toStoreError(kind: CallKind, error: unknown): StoreError {
  const message = error instanceof Error ? error.message : String(error);
  const code = getErrorCode(error);
  if (code !== undefined && UNSENT_CODES.has(code)) {
    return {kind: 'unavailable', message: `${code}: ${message}`};
  }
  return toFailure(kind, message);
}

/** The error of a call that was sent and not answered as it should be. */
export function toFailure(kind: CallKind, message: string): StoreError {
  return {kind: kind === 'write' ? 'ambiguous' : 'unavailable', message};
}

function getErrorCode(error: unknown): string | undefined {
  if (!(error instanceof Error) || !('code' in error)) return undefined;
  return typeof error.code === 'string' ? error.code : undefined;
}
