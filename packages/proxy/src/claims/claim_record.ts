/** Stored record of a claim on an idempotency key. */

import {createHash} from 'node:crypto';
import type {Branded, ServiceId} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import type {Result} from 'ts-results-es';
import {Err, Ok} from 'ts-results-es';

/** Identifies one claim operation; no other one has the same token. */
export type ClaimToken = Branded<'ClaimToken'>;

/** Prefix of the store keys of claims. */
export const CLAIM_PREFIX = 'cassiaknot/claim/';

/** A response stored with a finished claim for replay. */
export interface StoredResponse {
  readonly statusCode: number;
  readonly headers: Record<string, string | string[]>;
  readonly bodyBase64: string;
}

/**
 * State of a claim:
 *
 * - `running`: the holder may have sent the request to a target.
 * - `finished`: the request was executed; small responses are stored.
 * - `released`: the request was certainly not executed; the key is free.
 */
export interface ClaimRecord {
  readonly token: ClaimToken;
  /** Tells a repeated request from another one that uses the same key. */
  readonly fingerprint: string;
  readonly state: 'running' | 'finished' | 'released';
  /** The response to replay, if it was small enough to be stored. */
  readonly answer?: StoredResponse;
}

/** Returns the store key of a claim; the idempotency key is hashed. */
export function getClaimKey(
  serviceId: ServiceId,
  idempotencyKey: string,
): string {
  const digest = createHash('sha256')
    .update(idempotencyKey)
    .digest('base64url');
  return `${CLAIM_PREFIX}${serviceId}/${digest}`;
}

export function newClaimToken(uuid: string): ClaimToken {
  return brandId<ClaimToken>(uuid);
}

export function serializeClaim(record: ClaimRecord): string {
  return JSON.stringify(record);
}

/** Parses a stored claim. */
export function parseClaim(text: string): Result<ClaimRecord, string> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return Err(String(error));
  }
  return isClaimRecord(value) ? Ok(value) : Err('not a valid claim record');
}

function isClaimRecord(value: unknown): value is ClaimRecord {
  if (value === null || typeof value !== 'object') return false;
  const record = value as Partial<Record<keyof ClaimRecord, unknown>>;
  return (
    typeof record.token === 'string' &&
    typeof record.fingerprint === 'string' &&
    (record.state === 'running' ||
      record.state === 'finished' ||
      record.state === 'released')
  );
}
