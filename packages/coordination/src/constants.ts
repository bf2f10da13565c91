/** Limits shared by the coordination modules. */

/** Number of changes that the head lists and each replica retains. */
export const MAX_RETAINED_CHANGES = 64;
/** A commit writes a snapshot when the latest is this many versions old. */
export const SNAPSHOT_INTERVAL_VERSIONS = 32;
/** Number of buckets by which member tables are compared. */
export const MEMBER_BUCKET_COUNT = 256;
/** Time for which the record of a member that died or left is retained. */
export const TOMBSTONE_TTL_MS = 3_600_000;
/** Number of instances whose reported version is retained. */
export const MAX_TRACKED_INSTANCES = 20_000;
