/** Header names and header forwarding rules. */

/** Outcome of a request: `answered`, `not-run` or `unknown`. */
export const OUTCOME_HEADER = 'cassiaknot-outcome';
/** Reason of an outcome other than `answered`. */
export const REASON_HEADER = 'cassiaknot-reason';
/** Remaining time until the request's deadline, in milliseconds. */
export const TIMEOUT_HEADER = 'cassiaknot-timeout-ms';
/**
 * Number of calls above this one in a chain of nested calls. Callers propagate
 * it to the calls that they make.
 */
export const DEPTH_HEADER = 'cassiaknot-depth';
/** Set on a retry; callers propagate it, so that nested calls don't retry. */
export const RETRY_HEADER = 'cassiaknot-retry';
/** Set on a retry after a target crashed with this request in flight. */
export const SUSPECT_HEADER = 'cassiaknot-suspect';
/** Service to which the entry routed the request. */
export const SERVICE_HEADER = 'cassiaknot-service';
/** Instance whose gate the entry picked. */
export const INSTANCE_HEADER = 'cassiaknot-instance';
/**
 * Id of a request on one hop. A response that echoes it belongs to the request; one
 * that echoes another id does not.
 */
export const CALL_ID_HEADER = 'cassiaknot-call-id';
/** Number of requests running and waiting at the responding gate. */
export const LOAD_HEADER = 'cassiaknot-load';
/** Response time of the target, in microseconds. */
export const TARGET_TIME_HEADER = 'cassiaknot-target-us';
/** The caller's key for a request to be executed at most once. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

const INTERNAL_PREFIX = 'cassiaknot-';
/** Hop-by-hop headers, and `expect` and `content-length`; none is forwarded. */
const UNFORWARDED: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'content-length',
]);

/** Header fields of a response, as undici and Node represent them. */
export type HeaderFields = Readonly<
  Record<string, string | string[] | undefined>
>;

/** Copies alternating header names and values that may be forwarded. */
export function copyRequestHeaders(rawHeaders: readonly string[]): string[] {
  const copied: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    if (!isForwardable(name)) continue;
    copied.push(name, rawHeaders[index + 1] ?? '');
  }
  return copied;
}

/** Copies the response header fields that may be forwarded. */
export function copyResponseHeaders(
  fields: HeaderFields,
): Record<string, string | string[]> {
  const copied: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(fields)) {
    if (value !== undefined && isForwardable(name)) copied[name] = value;
  }
  return copied;
}

/** Parses a number header; undefined if absent, invalid or out of range. */
export function readNumberHeader(
  value: string | string[] | undefined,
  min: number,
  max: number,
): number | undefined {
  if (typeof value !== 'string' || value === '') return undefined;
  const number = Number(value);
  if (!Number.isFinite(number) || number < min || number > max) {
    return undefined;
  }
  return number;
}

function isForwardable(name: string): boolean {
  const lowerName = name.toLowerCase();
  return !lowerName.startsWith(INTERNAL_PREFIX) && !UNFORWARDED.has(lowerName);
}
