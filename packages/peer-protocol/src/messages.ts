/** Messages between daemons. Each message is sent as one WebSocket message. */

import {CHANGE_SCHEMA, RECORD_SCHEMA, brandId} from '@cassiaknot/inventory';
import type {Branded, Digest} from '@cassiaknot/inventory';
import type {Result} from 'ts-results-es';
import {Err, Ok} from 'ts-results-es';
import {z} from 'zod';
import {
  DATA_CENTRE_ID_SCHEMA,
  INSTANCE_ID_SCHEMA,
  MEMBER_RECORD_SCHEMA,
  SERVICE_ID_SCHEMA,
} from './member_record.js';
import {PEER_ADDRESS_SCHEMA} from './addresses.js';

/** Hash of the service, method, path and body of a request. */
export type Fingerprint = Branded<'Fingerprint'>;

const VERSION_SCHEMA = z.number().int().min(0);
const DIGEST_SCHEMA = z
  .string()
  .max(64)
  .transform(value => brandId<Digest>(value));

/** Validates a version and the digest of its state. */
export const VERSION_DIGEST_SCHEMA = z.object({
  version: VERSION_SCHEMA,
  digest: DIGEST_SCHEMA,
});

/** Validates an accepted change and the version that it produced. */
export const VERSIONED_CHANGE_SCHEMA = z.object({
  version: VERSION_SCHEMA,
  /** Version that the change applies to; `version - 1` if omitted. */
  previousVersion: VERSION_SCHEMA.optional(),
  digest: DIGEST_SCHEMA,
  change: CHANGE_SCHEMA,
});

const IDENTITY_FIELDS = {
  instanceId: INSTANCE_ID_SCHEMA,
  dataCentreId: DATA_CENTRE_ID_SCHEMA,
  peerAddress: PEER_ADDRESS_SCHEMA,
};

const VERSIONED_CHANGES_SCHEMA = z.array(VERSIONED_CHANGE_SCHEMA);

/** First message on a link, sent by the side that dialled. */
const HELLO_SCHEMA = z.object({
  kind: z.literal('hello'),
  ...IDENTITY_FIELDS,
  tip: VERSION_DIGEST_SCHEMA,
});

/**
 * Accepts a link; both sides send one. `floorVersion` is the highest version
 * that the receiver is known to have had in use, 0 if none is known; after a
 * restart, the receiver does not serve at a lower one.
 */
const WELCOME_SCHEMA = z.object({
  kind: z.literal('welcome'),
  ...IDENTITY_FIELDS,
  tip: VERSION_DIGEST_SCHEMA,
  floorVersion: VERSION_SCHEMA,
});

/** Refuses a link; the dialler may retry after the given time. */
const BUSY_SCHEMA = z.object({
  kind: z.literal('busy'),
  retryAfterMs: z.number().int().min(0),
});

const SOURCE_AGES_SCHEMA = z.object({
  contactAgeMs: z.number().min(0),
  failureAgeMs: z.number().min(0).optional(),
});

/** Periodic liveness message on every link. */
const HEARTBEAT_SCHEMA = z.object({
  kind: z.literal('heartbeat'),
  /** Newest version that the sender has, even if it is invalid. */
  tip: VERSION_DIGEST_SCHEMA,
  /** Newest valid version, which the sender has in use. */
  heldVersion: VERSION_SCHEMA,
  /** Digest of all live member records of the sender. */
  memberDigest: z.number().int(),
  /** Ages of the newest contact with the configuration source and failure. */
  sourceAges: SOURCE_AGES_SCHEMA.optional(),
});

/**
 * Announces a version that the sender can supply, or will once it holds it. A small change is
 * sent along, so that a receiver that holds the version before it needs no request.
 */
const ANNOUNCE_SCHEMA = z.object({
  kind: z.literal('announce'),
  tip: VERSION_DIGEST_SCHEMA,
  /** Whether the sender has asked for the version and does not hold it yet. */
  isExpected: z.boolean().optional(),
  /** Links that the version has crossed to the sender; for logs. */
  hops: z.number().int().min(0).optional(),
  /** The change that produced the version, if it is small. */
  change: VERSIONED_CHANGE_SCHEMA.optional(),
});

/**
 * Requests all changes accepted after a version. If the receiver no longer has
 * all of them, or if `snapshotOnly` is set, it replies with a snapshot and the
 * changes after that.
 */
const GET_CHANGES_SCHEMA = z.object({
  kind: z.literal('get-changes'),
  sinceVersion: VERSION_SCHEMA,
  snapshotOnly: z.boolean(),
  /** Version that the receiver expects; it replies once it holds it. */
  expectedVersion: VERSION_SCHEMA.optional(),
  /**
   * Digests of the record buckets of the sender, so that a snapshot can be limited
   * to the buckets that differ.
   */
  bucketDigests: z.array(z.number().int()).optional(),
});

/**
 * Consecutive accepted changes, oldest first. Their content is not validated with the message,
 * since a receiver that passes it on does so first; see {@link validateChanges}.
 */
const CHANGES_SCHEMA = z.object({
  kind: z.literal('changes'),
  changes: z.array(VERSIONED_CHANGE_SCHEMA.extend({change: z.unknown()})),
});

/**
 * State at one version: all records, or those of the listed buckets if the others
 * are the same at the receiver.
 */
const SNAPSHOT_SCHEMA = z.object({
  kind: z.literal('snapshot'),
  version: VERSION_SCHEMA,
  digest: DIGEST_SCHEMA,
  records: z.array(RECORD_SCHEMA),
  buckets: z.array(z.number().int().min(0)).optional(),
});

/**
 * Digests of all buckets of the sender's member table, for anti-entropy. A
 * bucket holds the members whose instance id hashes to its number.
 */
const MEMBER_BUCKETS_SCHEMA = z.object({
  kind: z.literal('member-buckets'),
  digests: z.array(z.number().int()),
});

/**
 * Member records; `wantBuckets` lists the buckets whose records the receiver is
 * to send back.
 */
const MEMBERS_SCHEMA = z.object({
  kind: z.literal('members'),
  records: z.array(MEMBER_RECORD_SCHEMA),
  wantBuckets: z.array(z.number().int()),
});

/** Reports a request that was in flight when a target crashed. */
const SUSPECT_REQUEST_SCHEMA = z.object({
  kind: z.literal('suspect-request'),
  serviceId: SERVICE_ID_SCHEMA,
  fingerprint: z
    .string()
    .max(64)
    .transform(value => brandId<Fingerprint>(value)),
  /** Crashes attributed to the request so far. */
  crashCount: z.number().int().min(0),
  /** Longest time for which the receiver remembers the request. */
  ttlMs: z.number().int().min(0),
});

/** Requests an immediate reply; sent after the sender itself was paused. */
const PROBE_SCHEMA = z.object({
  kind: z.literal('probe'),
  nonce: z.number().int(),
});

/** Reply to a probe; carries the nonce of the probe. */
const PROBE_REPLY_SCHEMA = z.object({
  kind: z.literal('probe-reply'),
  nonce: z.number().int(),
  tip: VERSION_DIGEST_SCHEMA,
});

/** Validates any message between daemons. */
export const PEER_MESSAGE_SCHEMA = z.discriminatedUnion('kind', [
  HELLO_SCHEMA,
  WELCOME_SCHEMA,
  BUSY_SCHEMA,
  HEARTBEAT_SCHEMA,
  ANNOUNCE_SCHEMA,
  GET_CHANGES_SCHEMA,
  CHANGES_SCHEMA,
  SNAPSHOT_SCHEMA,
  MEMBER_BUCKETS_SCHEMA,
  MEMBERS_SCHEMA,
  SUSPECT_REQUEST_SCHEMA,
  PROBE_SCHEMA,
  PROBE_REPLY_SCHEMA,
]);

/** Any message between daemons. */
export type PeerMessage = z.infer<typeof PEER_MESSAGE_SCHEMA>;
/** Message type with the given kind. */
export type PeerMessageOf<K extends PeerMessage['kind']> = Extract<
  PeerMessage,
  {kind: K}
>;
/** A version and the digest of its state. */
export type VersionDigest = z.infer<typeof VERSION_DIGEST_SCHEMA>;
/** An accepted change and the version that it produced. */
export type VersionedChange = z.infer<typeof VERSIONED_CHANGE_SCHEMA>;

/** Validates the changes of a message; the error is the first problem found. */
export function validateChanges(
  message: PeerMessageOf<'changes'>,
): Result<VersionedChange[], string> {
  const parsed = VERSIONED_CHANGES_SCHEMA.safeParse(message.changes);
  if (parsed.success) return Ok(parsed.data);
  const [first] = parsed.error.issues;
  return Err(`${first?.path.join('.')}: ${first?.message}`);
}
