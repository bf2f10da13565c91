/** Header names and the rules for passing headers on. */

/** Outcome of a request: `answered`, `not-run` or `unknown`. */
export const OUTCOME_HEADER = 'cassiaknot-outcome';
/** Reason of an outcome other than `answered`. */
export const REASON_HEADER = 'cassiaknot-reason';
/** Time left for the request, in milliseconds. */
export const TIMEOUT_HEADER = 'cassiaknot-timeout-ms';
/** Number of calls above this one; callers pass it on to calls they make. */
export const DEPTH_HEADER = 'cassiaknot-depth';
/** Set on a retry; callers pass it on, so that nothing below is retried. */
export const RETRY_HEADER = 'cassiaknot-retry';
/** Set on a retry after a target crashed with this request in flight. */
export const SUSPECT_HEADER = 'cassiaknot-suspect';
/** Service that the entry chose. */
export const SERVICE_HEADER = 'cassiaknot-service';
/** Instance whose gate the entry chose. */
export const INSTANCE_HEADER = 'cassiaknot-instance';
/** Requests running and waiting at the gate that answers. */
export const LOAD_HEADER = 'cassiaknot-load';
/** Time the target took, in microseconds. */
export const TARGET_TIME_HEADER = 'cassiaknot-target-us';
/** The caller's key for a request that must run at most once. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

const PRIVATE_PREFIX = 'cassiaknot-';
const HOP_BY_HOP: ReadonlySet<string> = new Set([
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

/** Header fields of an answer, as undici and Node represent them. */
export type HeaderFields = Readonly<
  Record<string, string | string[] | undefined>
>;

/** Copies the alternating names and values that may be passed on. */
export function copyRequestHeaders(rawHeaders: readonly string[]): string[] {
  const copied: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    if (!isPassedOn(name)) continue;
    copied.push(name, rawHeaders[index + 1] ?? '');
  }
  return copied;
}

/** Copies the answer's fields that may be passed on. */
export function copyAnswerHeaders(
  fields: HeaderFields,
): Record<string, string | string[]> {
  const copied: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(fields)) {
    if (value !== undefined && isPassedOn(name)) copied[name] = value;
  }
  return copied;
}

/** Reads a header as a number in a range; undefined if it is not one. */
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

function isPassedOn(name: string): boolean {
  const lowerName = name.toLowerCase();
  return !lowerName.startsWith(PRIVATE_PREFIX) && !HOP_BY_HOP.has(lowerName);
}
