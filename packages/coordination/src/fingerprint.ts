/** Fingerprints that identify repeated requests. */

import {createHash} from 'node:crypto';
import type {ServiceId} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import type {Fingerprint} from '@cassiaknot/peer-protocol';

const FINGERPRINT_BYTES = 12;

/** Hashes the service, method, path and body of a request, not its headers. */
export function computeFingerprint(
  serviceId: ServiceId,
  method: string,
  path: string,
  body: Uint8Array,
): Fingerprint {
  const hash = createHash('sha1');
  hash.update(`${serviceId}\n${method}\n${path}\n`);
  hash.update(body);
  const bytes = hash.digest().subarray(0, FINGERPRINT_BYTES);
  return brandId<Fingerprint>(bytes.toString('base64url'));
}
