/** The stored form of an idempotency claim. */

import {createHash} from 'node:crypto';
import type {Branded, ServiceId} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import type {Result} from 'ts-results-es';
import {Err, Ok} from 'ts-results-es';

/** Identifies one attempt to claim a key. */
export type ClaimToken = Branded<'ClaimToken'>;

/** Prefix of the keys of claims. */
export const CLAIM_PREFIX = 'cassiaknot/claim/';

/** An answer as kept with a finished claim. */
export interface KeptAnswer {
  readonly statusCode: number;
  readonly headers: Record<string, string | string[]>;
  readonly bodyBase64: string;
}

/**
 * State of a claim:
 *
 * - `running`: its holder may have sent the request to a target.
 * - `finished`: the request ran; the answer is kept if it is small.
 * - `released`: the request was certainly not run; the key is free.
 */
export interface ClaimRecord {
  readonly token: ClaimToken;
  readonly fingerprint: string;
  readonly state: 'running' | 'finished' | 'released';
  readonly answer?: KeptAnswer;
}

/** Returns the key of a claim. */
export function getClaimKey(
  serviceId: ServiceId,
  idempotencyKey: string,
): string {
  const digest = createHash('sha256')
    .update(idempotencyKey)
    .digest('base64url');
  return `${CLAIM_PREFIX}${serviceId}/${digest}`;
}

/** Makes a token that no other attempt has. */
export function newClaimToken(unique: string): ClaimToken {
  return brandId<ClaimToken>(unique);
}

/** Writes a claim in its stored form. */
export function formatClaim(record: ClaimRecord): string {
  return JSON.stringify(record);
}

/** Reads a stored claim. */
export function parseClaim(text: string): Result<ClaimRecord, string> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return Err(String(error));
  }
  return isClaimRecord(value) ? Ok(value) : Err('not a claim');
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
