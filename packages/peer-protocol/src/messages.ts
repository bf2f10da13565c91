/** Messages between daemons. Every message is one WebSocket frame. */

import {CHANGE_SCHEMA, RECORD_SCHEMA, brandId} from '@cassiaknot/inventory';
import type {Branded, Digest} from '@cassiaknot/inventory';
import {z} from 'zod';
import {
  DATA_CENTRE_ID_SCHEMA,
  INSTANCE_ID_SCHEMA,
  MEMBER_RECORD_SCHEMA,
  SERVICE_ID_SCHEMA,
} from './member_record.js';
import {PEER_ADDRESS_SCHEMA} from './addresses.js';

/** Identifies requests with the same service, method, path and body. */
export type Fingerprint = Branded<'Fingerprint'>;

const VERSION_SCHEMA = z.number().int().min(0);
const DIGEST_SCHEMA = z
  .string()
  .max(64)
  .transform(value => brandId<Digest>(value));

/** Checks a version with the digest of its state. */
export const VERSION_MARK_SCHEMA = z.object({
  version: VERSION_SCHEMA,
  digest: DIGEST_SCHEMA,
});

/** Checks an accepted change with the version it made. */
export const VERSIONED_CHANGE_SCHEMA = z.object({
  version: VERSION_SCHEMA,
  /** Version that the change follows; left out where it is the one before. */
  previousVersion: VERSION_SCHEMA.optional(),
  digest: DIGEST_SCHEMA,
  change: CHANGE_SCHEMA,
});

const IDENTITY_FIELDS = {
  instanceId: INSTANCE_ID_SCHEMA,
  dataCentreId: DATA_CENTRE_ID_SCHEMA,
  peerAddress: PEER_ADDRESS_SCHEMA,
};

/** First message of the dialling side. */
const HELLO_SCHEMA = z.object({
  kind: z.literal('hello'),
  ...IDENTITY_FIELDS,
  tip: VERSION_MARK_SCHEMA,
});

/** Accepts a link; `floorVersion` is the highest the dialler once reported. */
const WELCOME_SCHEMA = z.object({
  kind: z.literal('welcome'),
  ...IDENTITY_FIELDS,
  tip: VERSION_MARK_SCHEMA,
  floorVersion: VERSION_SCHEMA,
});

/** Refuses a link for now. */
const BUSY_SCHEMA = z.object({
  kind: z.literal('busy'),
  retryAfterMs: z.number().int().min(0),
});

/** Sent on every link at a fixed interval. */
const HEARTBEAT_SCHEMA = z.object({
  kind: z.literal('heartbeat'),
  tip: VERSION_MARK_SCHEMA,
  heldVersion: VERSION_SCHEMA,
  memberDigest: z.number().int(),
});

/** Tells that the sender can supply a version. */
const ANNOUNCE_SCHEMA = z.object({
  kind: z.literal('announce'),
  tip: VERSION_MARK_SCHEMA,
});

/** Asks for everything accepted after a version. */
const GET_CHANGES_SCHEMA = z.object({
  kind: z.literal('get-changes'),
  sinceVersion: VERSION_SCHEMA,
  snapshotOnly: z.boolean(),
});

/** Consecutive accepted changes, oldest first. */
const CHANGES_SCHEMA = z.object({
  kind: z.literal('changes'),
  changes: z.array(VERSIONED_CHANGE_SCHEMA),
});

/** A whole state. */
const SNAPSHOT_SCHEMA = z.object({
  kind: z.literal('snapshot'),
  version: VERSION_SCHEMA,
  digest: DIGEST_SCHEMA,
  records: z.array(RECORD_SCHEMA),
});

/** Digest of each bucket of the sender's member table. */
const MEMBER_BUCKETS_SCHEMA = z.object({
  kind: z.literal('member-buckets'),
  digests: z.array(z.number().int()),
});

/** Member records; `wantBuckets` asks for the receiver's in return. */
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
  crashCount: z.number().int().min(0),
  ttlMs: z.number().int().min(0),
});

/** Asks a peer to answer at once, after the sender's own pause. */
const PROBE_SCHEMA = z.object({
  kind: z.literal('probe'),
  nonce: z.number().int(),
});

/** Answers a probe. */
const PROBE_REPLY_SCHEMA = z.object({
  kind: z.literal('probe-reply'),
  nonce: z.number().int(),
  tip: VERSION_MARK_SCHEMA,
});

/** Checks any message between daemons. */
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
/** Selects one message by its kind. */
export type PeerMessageOf<K extends PeerMessage['kind']> = Extract<
  PeerMessage,
  {kind: K}
>;
/** A version with the digest of its state. */
export type VersionMark = z.infer<typeof VERSION_MARK_SCHEMA>;
/** An accepted change with the version it made. */
export type VersionedChange = z.infer<typeof VERSIONED_CHANGE_SCHEMA>;
