/** Tells errors after which certainly nothing was sent. */

const CERTAIN_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Whether the connection was never made, so that no byte was sent. */
export function isCertainConnectError(error: unknown): boolean {
  if (!(error instanceof Error) || !('code' in error)) return false;
  return typeof error.code === 'string' && CERTAIN_CODES.has(error.code);
}
