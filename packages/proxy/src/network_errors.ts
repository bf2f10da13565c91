/** Classifies network errors that precede the sending of any data. */

const CONNECT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Whether connecting failed, so that no byte of the request was sent. */
export function isConnectFailure(error: unknown): boolean {
  if (!(error instanceof Error) || !('code' in error)) return false;
  return typeof error.code === 'string' && CONNECT_CODES.has(error.code);
}
