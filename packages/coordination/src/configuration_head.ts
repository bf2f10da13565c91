/**
 * The layout of the configuration in the store. The value at {@link HEAD_KEY}
 * references everything else; writing it is the commit point.
 */

import type {Change, ChangeId, Digest} from '@cassiaknot/inventory';
import {
  CHANGE_SCHEMA,
  EMPTY_STATE,
  RECORD_SCHEMA,
  brandId,
} from '@cassiaknot/inventory';
import type {Result} from 'ts-results-es';
import {Err, Ok} from 'ts-results-es';
import {z} from 'zod';

export const HEAD_KEY = 'cassiaknot/head';
export const CHANGE_PREFIX = 'cassiaknot/change/';
export const SNAPSHOT_PREFIX = 'cassiaknot/snapshot/';

const VERSION_SCHEMA = z.number().int().min(0);
const DIGEST_SCHEMA = z.string().transform(value => brandId<Digest>(value));
const CHANGE_ID_SCHEMA = z
  .string()
  .transform(value => brandId<ChangeId>(value));

const COMMITTED_CHANGE_SCHEMA = z.object({
  version: VERSION_SCHEMA,
  changeId: CHANGE_ID_SCHEMA,
  digest: DIGEST_SCHEMA,
});

const SNAPSHOT_REFERENCE_SCHEMA = z.object({
  version: VERSION_SCHEMA,
  digest: DIGEST_SCHEMA,
  snapshotId: z.string(),
  partCount: z.number().int().min(1),
});

const HEAD_SCHEMA = z.object({
  version: VERSION_SCHEMA,
  digest: DIGEST_SCHEMA,
  history: z.array(COMMITTED_CHANGE_SCHEMA),
  snapshot: SNAPSHOT_REFERENCE_SCHEMA.optional(),
  inlineChange: CHANGE_SCHEMA.optional(),
});

const SNAPSHOT_PART_SCHEMA = z.array(RECORD_SCHEMA);

/** An entry of the history in the head. */
export type CommittedChange = z.infer<typeof COMMITTED_CHANGE_SCHEMA>;
/** References the parts of a snapshot. */
export type SnapshotReference = z.infer<typeof SNAPSHOT_REFERENCE_SCHEMA>;
/** The newest committed version and what is needed to rebuild it. */
export type ConfigurationHead = z.infer<typeof HEAD_SCHEMA>;

/** The head before the first commit. */
export const EMPTY_HEAD: ConfigurationHead = {
  version: 0,
  digest: EMPTY_STATE.digest,
  history: [],
};

export function getChangeKey(changeId: ChangeId): string {
  return `${CHANGE_PREFIX}${changeId}`;
}

export function getSnapshotPartKey(snapshotId: string, part: number): string {
  return `${SNAPSHOT_PREFIX}${snapshotId}/${part}`;
}

/** Parses a stored head; the error says why it is invalid. */
export function parseHead(text: string): Result<ConfigurationHead, string> {
  return parseJson(text, HEAD_SCHEMA);
}

/** Parses a stored change. */
export function parseChange(text: string): Result<Change, string> {
  return parseJson(text, CHANGE_SCHEMA);
}

/** Parses one part of a snapshot. */
export function parseSnapshotPart(
  text: string,
): Result<z.infer<typeof SNAPSHOT_PART_SCHEMA>, string> {
  return parseJson(text, SNAPSHOT_PART_SCHEMA);
}

function parseJson<T>(text: string, schema: z.ZodType<T>): Result<T, string> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return Err(String(error));
  }
  const parsed = schema.safeParse(value);
  return parsed.success ? Ok(parsed.data) : Err(parsed.error.message);
}
