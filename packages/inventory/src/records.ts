/**
 * Schemas and types of the records that make up a configuration: data centres,
 * owners, services, rules, workspaces and limits on callers.
 */

import {z} from 'zod';
import {
  DEFAULT_QUEUE_LIMIT,
  DEFAULT_RULE_PRIORITY,
  DEFAULT_TIMEOUT_MS,
  ID_PATTERN,
  KEY_DIGEST_CHARS,
  MAX_ID_CHARS,
  MAX_RULE_URGENCY,
  MAX_WORKSPACE_KEYS,
} from './constants.js';
import type {
  Branded,
  DataCentreId,
  Digest,
  LimitsId,
  OwnerId,
  RecordKey,
  RuleId,
  ServiceId,
  WorkspaceId,
} from './ids.js';
import {brandId} from './ids.js';

function idSchema<T extends Branded<string>>() {
  return z
    .string()
    .max(MAX_ID_CHARS)
    .regex(ID_PATTERN)
    .transform(value => brandId<T>(value));
}

const HTTP_ERROR_STATUS_SCHEMA = z.number().int().min(400).max(599);

// Fields are in alphabetical order, which is the order of the keys of parsed records:
// records with sorted keys are hashed faster.

const DATA_CENTRE_SCHEMA = z.strictObject({
  id: idSchema<DataCentreId>(),
  kind: z.literal('data-centre'),
  region: z.string().min(1).max(MAX_ID_CHARS),
});

const OWNER_SCHEMA = z.strictObject({
  contact: z.string().min(1).max(200),
  id: idSchema<OwnerId>(),
  kind: z.literal('owner'),
});

const SERVICE_SCHEMA = z.strictObject({
  dataCentreIds: z.array(idSchema<DataCentreId>()).min(1).max(64),
  /** Path of the health check endpoint of a target. */
  healthPath: z.string().startsWith('/').max(500).optional(),
  id: idSchema<ServiceId>(),
  kind: z.literal('service'),
  /** Connections that one target accepts from all callers; not enforced. */
  maxConnections: z.number().int().min(1).max(1_000_000).optional(),
  ownerId: idSchema<OwnerId>(),
  /** Limit on the requests that queue at one gate for a slot. */
  queueLimit: z.number().int().min(0).max(10_000).default(DEFAULT_QUEUE_LIMIT),
  /** Statuses by which a target reports that it did not run a request. */
  shedStatuses: z.array(HTTP_ERROR_STATUS_SCHEMA).max(8).default([]),
  timeoutMs: z.number().int().min(1).max(600_000).default(DEFAULT_TIMEOUT_MS),
});

const WEIGHTED_SERVICE_SCHEMA = z.strictObject({
  serviceId: idSchema<ServiceId>(),
  weight: z.number().min(0).max(1_000_000),
});

const RULE_SCHEMA = z.strictObject({
  host: z.string().max(253).optional(),
  id: idSchema<RuleId>(),
  /** Whether requests are idempotent; derived from the method if omitted. */
  isIdempotent: z.boolean().optional(),
  /** Whether requests need no key of a workspace. */
  isPublic: z.boolean().optional(),
  kind: z.literal('rule'),
  /** Latency objective: a response within this time counts as on time. */
  latencyObjectiveMs: z.number().int().min(1).max(600_000).optional(),
  /** Maximum number of attempts that reach a target, the first included. */
  maxAttempts: z.number().int().min(1).max(16).optional(),
  method: z
    .string()
    .regex(/^[A-Z]+$/)
    .optional(),
  pathPrefix: z.string().startsWith('/').max(500),
  /** Position in the matching order of rules; lower numbers match first. */
  priority: z
    .number()
    .int()
    .min(0)
    .max(1_000_000)
    .default(DEFAULT_RULE_PRIORITY),
  /** Service that receives matching requests if there is no `split`. */
  serviceId: idSchema<ServiceId>(),
  /** Weighted traffic split over services; replaces `serviceId`. */
  split: z.array(WEIGHTED_SERVICE_SCHEMA).min(1).max(32).optional(),
  /** Limit on the time that a caller waits for a response. */
  timeoutMs: z.number().int().min(1).max(600_000).optional(),
  /** Order in which requests are served under load; 0 is served first. */
  urgency: z.number().int().min(0).max(MAX_RULE_URGENCY).optional(),
});

const KEY_DIGEST_SCHEMA = z
  .string()
  .length(KEY_DIGEST_CHARS)
  .transform(value => brandId<Digest>(value));

const WORKSPACE_SCHEMA = z.strictObject({
  /** Requests that may exceed the rate at once, over all instances. */
  burst: z.number().min(0).max(1_000_000_000).optional(),
  id: idSchema<WorkspaceId>(),
  /** Digests of the keys that callers send; sorted, without duplicates. */
  keyDigests: z.array(KEY_DIGEST_SCHEMA).max(MAX_WORKSPACE_KEYS),
  kind: z.literal('workspace'),
  /** Limit over all instances; unlimited if omitted. */
  ratePerSecond: z.number().gt(0).max(1_000_000_000).optional(),
  /** Ranks before the urgency of the rule; 0 is served first. */
  urgency: z.number().int().min(0).max(1_000_000).optional(),
});

const CALLER_LIMITS_SCHEMA = z.strictObject({
  headerTimeoutMs: z.number().int().min(1).max(600_000),
  id: idSchema<LimitsId>(),
  idleTimeoutMs: z.number().int().min(1).max(86_400_000),
  kind: z.literal('caller-limits'),
  maxBodyBytes: z.number().int().min(0).max(1_073_741_824),
  maxHeaderBytes: z.number().int().min(1).max(16_777_216),
});

/** Validates a record of any kind and fills in default values. */
export const RECORD_SCHEMA = z.discriminatedUnion('kind', [
  DATA_CENTRE_SCHEMA,
  OWNER_SCHEMA,
  SERVICE_SCHEMA,
  RULE_SCHEMA,
  CALLER_LIMITS_SCHEMA,
  WORKSPACE_SCHEMA,
]);

/** A data centre and its region. */
export type DataCentreRecord = z.infer<typeof DATA_CENTRE_SCHEMA>;
/** The party responsible for a set of services. */
export type OwnerRecord = z.infer<typeof OWNER_SCHEMA>;
/** A service, its limits and the data centres in which it may run. */
export type ServiceRecord = z.infer<typeof SERVICE_SCHEMA>;
/** Routes matching requests to a service. */
export type RuleRecord = z.infer<typeof RULE_SCHEMA>;
/** Limits on the requests and connections of callers. */
export type CallerLimitsRecord = z.infer<typeof CALLER_LIMITS_SCHEMA>;
/** A group of callers with keys, limits and an urgency of its own. */
export type WorkspaceRecord = z.infer<typeof WORKSPACE_SCHEMA>;
/** A record of any kind. */
export type InventoryRecord = z.infer<typeof RECORD_SCHEMA>;
/** Discriminator of {@link InventoryRecord}. */
export type RecordKind = InventoryRecord['kind'];

/** Returns the key under which a record is stored in a state. */
export function getRecordKey(record: InventoryRecord): RecordKey {
  return makeRecordKey(record.kind, record.id);
}

/** Returns the key of the record with this kind and id. */
export function makeRecordKey(kind: RecordKind, id: string): RecordKey {
  return brandId<RecordKey>(`${kind}/${id}`);
}

/** Returns every service to which a rule may route requests. */
export function getRuleServiceIds(rule: RuleRecord): ServiceId[] {
  return rule.split?.map(part => part.serviceId) ?? [rule.serviceId];
}
