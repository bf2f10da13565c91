/** Validation of the head of a response, for all readers of responses. */

/** The head of a response as it was received. */
export interface RawResponseHead {
  readonly statusCode: number;
  readonly statusMessage: string;
  /** Alternating names and values; bytes are decoded as Latin-1. */
  readonly fields: ReadonlyArray<string | Uint8Array>;
}

/** Headers of a response by lower-case name. */
export type ResponseFields = Readonly<
  Record<string, string | string[] | undefined>
>;

const MIN_STATUS = 100;
const MAX_STATUS = 599;
/** Answers a request for another protocol, which no reader sends. */
const SWITCHING_PROTOCOLS_STATUS = 101;
const MIN_FINAL_STATUS = 200;
/** Statuses of responses that have no body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
const TOKEN_PATTERN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
/** Control bytes other than the tab. */
const CONTROL_PATTERN = /[\x00-\x08\x0a-\x1f\x7f]/;
const TRANSFER_CODING_NAME = 'transfer-encoding';

/**
 * Returns what makes a head invalid, or undefined if it is valid. The description
 * contains no bytes of the response.
 */
export function findHeadFault(head: RawResponseHead): string | undefined {
  const {statusCode, statusMessage, fields} = head;
  if (
    !Number.isInteger(statusCode) ||
    statusCode < MIN_STATUS ||
    statusCode > MAX_STATUS
  ) {
    return 'status out of range';
  }
  if (statusCode === SWITCHING_PROTOCOLS_STATUS) {
    return 'switch of protocols that was not requested';
  }
  if (CONTROL_PATTERN.test(statusMessage)) return 'control byte in the reason';
  if (fields.length % 2 !== 0) return 'field without a value';
  for (let index = 0; index < fields.length; index += 2) {
    const fault = findFieldFault(fields[index], fields[index + 1]);
    if (fault !== undefined) return fault;
  }
  return undefined;
}

/** Whether a response declares its length or is chunked. */
export function isFramed(fields: ResponseFields): boolean {
  return (
    fields['content-length'] !== undefined ||
    fields[TRANSFER_CODING_NAME] !== undefined
  );
}

/** Whether the body of a valid response lasts until its connection ends. */
export function endsWithConnection(
  method: string,
  statusCode: number,
  fields: ResponseFields,
): boolean {
  const hasBody =
    method !== 'HEAD' &&
    statusCode >= MIN_FINAL_STATUS &&
    !BODILESS_STATUSES.has(statusCode);
  return hasBody && !isFramed(fields);
}

function findFieldFault(
  rawName: string | Uint8Array | undefined,
  rawValue: string | Uint8Array | undefined,
): string | undefined {
  const name = decode(rawName);
  const value = decode(rawValue);
  if (!TOKEN_PATTERN.test(name)) return 'field name that is no token';
  if (CONTROL_PATTERN.test(value)) return 'control byte in a field value';
  // Other codings may only be sent to a receiver that asked for them. Their bytes are
  // not the body, and without chunks a reset would look like the end.
  const isCoding = name.toLowerCase() === TRANSFER_CODING_NAME;
  if (isCoding && value.trim().toLowerCase() !== 'chunked') {
    return 'unknown transfer coding';
  }
  return undefined;
}

function decode(raw: string | Uint8Array | undefined): string {
  if (raw === undefined) return '';
  if (typeof raw === 'string') return raw;
  return Buffer.from(raw.buffer, raw.byteOffset, raw.byteLength).toString(
    'latin1',
  );
}
