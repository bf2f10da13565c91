/**
 * The typed records that make up a configuration: data centres, owners,
 * services and rules, with the schemas that check them.
 */

import {z} from 'zod';
import {
  DEFAULT_QUEUE_LIMIT,
  DEFAULT_RULE_PRIORITY,
  DEFAULT_TIMEOUT_MS,
  ID_PATTERN,
  MAX_ID_CHARS,
} from './constants.js';
import type {
  Branded,
  DataCentreId,
  LimitsId,
  OwnerId,
  RecordKey,
  RuleId,
  ServiceId,
} from './ids.js';
import {brandId} from './ids.js';

function idSchema<T extends Branded<string>>() {
  return z
    .string()
    .max(MAX_ID_CHARS)
    .regex(ID_PATTERN)
    .transform(value => brandId<T>(value));
}

const HTTP_ERROR_STATUS = z.number().int().min(400).max(599);

const DATA_CENTRE_SCHEMA = z.strictObject({
  kind: z.literal('data-centre'),
  id: idSchema<DataCentreId>(),
  region: z.string().min(1).max(MAX_ID_CHARS),
});

const OWNER_SCHEMA = z.strictObject({
  kind: z.literal('owner'),
  id: idSchema<OwnerId>(),
  contact: z.string().min(1).max(200),
});

const SERVICE_SCHEMA = z.strictObject({
  kind: z.literal('service'),
  id: idSchema<ServiceId>(),
  ownerId: idSchema<OwnerId>(),
  dataCentreIds: z.array(idSchema<DataCentreId>()).min(1).max(64),
  timeoutMs: z.number().int().min(1).max(600_000).default(DEFAULT_TIMEOUT_MS),
  queueLimit: z.number().int().min(0).max(10_000).default(DEFAULT_QUEUE_LIMIT),
  shedStatuses: z.array(HTTP_ERROR_STATUS).max(8).default([]),
  /** Path of the target's health check. */
  healthPath: z.string().startsWith('/').max(500).optional(),
  /** Connections that one target accepts from all callers. */
  maxConnections: z.number().int().min(1).max(1_000_000).optional(),
});

const SPLIT_PART_SCHEMA = z.strictObject({
  serviceId: idSchema<ServiceId>(),
  weight: z.number().min(0).max(1_000_000),
});

const RULE_SCHEMA = z.strictObject({
  kind: z.literal('rule'),
  id: idSchema<RuleId>(),
  serviceId: idSchema<ServiceId>(),
  pathPrefix: z.string().startsWith('/').max(500),
  host: z.string().max(253).optional(),
  method: z
    .string()
    .regex(/^[A-Z]+$/)
    .optional(),
  priority: z
    .number()
    .int()
    .min(0)
    .max(1_000_000)
    .default(DEFAULT_RULE_PRIORITY),
  /** Services that share the requests by weight, instead of `serviceId`. */
  split: z.array(SPLIT_PART_SCHEMA).min(1).max(32).optional(),
  /** Whether a request may run twice; left out, its method decides. */
  isIdempotent: z.boolean().optional(),
  /** Longest time that a caller is kept waiting. */
  timeoutMs: z.number().int().min(1).max(600_000).optional(),
  /** Latency up to which an answer is in time. */
  latencyObjectiveMs: z.number().int().min(1).max(600_000).optional(),
  /** Targets that one request may be sent to. */
  maxAttempts: z.number().int().min(1).max(16).optional(),
  /** Rank under load; 0 is served first. */
  urgency: z.number().int().min(0).max(1_000).optional(),
});

const CALLER_LIMITS_SCHEMA = z.strictObject({
  kind: z.literal('caller-limits'),
  id: idSchema<LimitsId>(),
  maxHeaderBytes: z.number().int().min(1).max(16_777_216),
  maxBodyBytes: z.number().int().min(0).max(1_073_741_824),
  headerTimeoutMs: z.number().int().min(1).max(600_000),
  idleTimeoutMs: z.number().int().min(1).max(86_400_000),
});

/** Checks one record of any kind and fills in defaults. */
export const RECORD_SCHEMA = z.discriminatedUnion('kind', [
  DATA_CENTRE_SCHEMA,
  OWNER_SCHEMA,
  SERVICE_SCHEMA,
  RULE_SCHEMA,
  CALLER_LIMITS_SCHEMA,
]);

/** A data centre and the region it lies in. */
export type DataCentreRecord = z.infer<typeof DATA_CENTRE_SCHEMA>;
/** A party that answers for services. */
export type OwnerRecord = z.infer<typeof OWNER_SCHEMA>;
/** A service, its limits and the data centres it may run in. */
export type ServiceRecord = z.infer<typeof SERVICE_SCHEMA>;
/** Sends matching requests to a service. */
export type RuleRecord = z.infer<typeof RULE_SCHEMA>;
/** Bounds on what callers may send. */
export type CallerLimitsRecord = z.infer<typeof CALLER_LIMITS_SCHEMA>;
/** Any record of the inventory. */
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

/** Returns every service that a rule may send a request to. */
export function getRuleServiceIds(rule: RuleRecord): ServiceId[] {
  return rule.split?.map(part => part.serviceId) ?? [rule.serviceId];
}
