/** Idempotent HTTP methods (RFC 9110). */

const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'OPTIONS',
  'TRACE',
  'PUT',
  'DELETE',
]);

/** Whether a request with this method may be executed more than once. */
export function isIdempotentMethod(method: string): boolean {
  return IDEMPOTENT_METHODS.has(method);
}
