/** Limits shared by the coordination parts. */

/** Accepted changes that the head lists and each replica keeps. */
export const MAX_KEPT_CHANGES = 64;
/** A commit writes a snapshot when the newest is this many versions old. */
export const SNAPSHOT_INTERVAL_VERSIONS = 32;
/** Buckets over which the member table is compared. */
export const MEMBER_BUCKET_COUNT = 256;
/** Time for which a member that died or left is remembered. */
export const TOMBSTONE_TTL_MS = 3_600_000;
/** Instances whose last reported version is remembered. */
export const MAX_REMEMBERED_INSTANCES = 20_000;
