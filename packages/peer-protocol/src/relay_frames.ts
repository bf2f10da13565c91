/**
 * Frames between an entry and a gate. One link carries many requests; the
 * field values travel by position, since most frames are small.
 */

import {brandId} from '@cassiaknot/inventory';
import type {Branded, RuleId} from '@cassiaknot/inventory';
import {Packr} from 'msgpackr';
import type {Result} from 'ts-results-es';
import {Err, Ok} from 'ts-results-es';
import {z} from 'zod';
import type {DecodeError} from './codec.js';
import {SERVICE_ID_SCHEMA} from './member_record.js';

/** Identifies a request on one link. */
export type CallId = Branded<'CallId'>;

const CALL_ID_SCHEMA = z
  .string()
  .max(32)
  .transform(value => brandId<CallId>(value));
const DURATION_MS_SCHEMA = z.number().min(0).max(86_400_000);
const BYTES_SCHEMA = z.custom<Uint8Array>(value => value instanceof Uint8Array);
const TEXTS_SCHEMA = z.array(z.string());

/** A request that a gate is asked to run. */
const OFFER_SCHEMA = z.object({
  kind: z.literal('offer'),
  callId: CALL_ID_SCHEMA,
  requestId: z.string(),
  serviceId: SERVICE_ID_SCHEMA,
  ruleId: z.string().transform(value => brandId<RuleId>(value)),
  method: z.string(),
  /** Path and query. */
  path: z.string(),
  /** Alternating names and values that are passed on. */
  headers: TEXTS_SCHEMA,
  body: BYTES_SCHEMA,
  /** Service that the request comes from. */
  callerServiceId: z.string(),
  /** Time that the caller goes on waiting. */
  remainingMs: DURATION_MS_SCHEMA,
  /** Longest wait for a slot that the entry accepts here. */
  maxWaitMs: DURATION_MS_SCHEMA,
  objectiveMs: DURATION_MS_SCHEMA,
  /** What is left of the objective; negative once it is missed. */
  objectiveLeftMs: z.number(),
  urgency: z.number().int().min(0),
  isIdempotent: z.boolean(),
});

/** Withdraws an offer: the caller has left or has been answered. */
const CANCEL_SCHEMA = z.object({
  kind: z.literal('cancel'),
  callId: CALL_ID_SCHEMA,
});

/** Asks whether the link still carries frames both ways. */
const PING_SCHEMA = z.object({kind: z.literal('ping'), nonce: z.number()});
const PONG_SCHEMA = z.object({kind: z.literal('pong'), nonce: z.number()});

/** Load of the target, for the route that was asked for. */
const LOAD_FIELDS = {
  /** Expected wait for a slot. */
  waitMs: DURATION_MS_SCHEMA,
  /** Expected run time; negative if not known. */
  runMs: z.number(),
};

/** The target's answer, whole. */
const ANSWER_SCHEMA = z.object({
  kind: z.literal('answer'),
  callId: CALL_ID_SCHEMA,
  statusCode: z.number().int(),
  headers: TEXTS_SCHEMA,
  body: BYTES_SCHEMA,
  /** Whether the target stated where its answer ends. */
  isFramed: z.boolean(),
  ...LOAD_FIELDS,
});

/** The request was certainly not run. */
const REFUSAL_SCHEMA = z.object({
  kind: z.literal('refusal'),
  callId: CALL_ID_SCHEMA,
  reason: z.string(),
  /** Whether the request reached the target, which refused it. */
  hasArrived: z.boolean(),
  ...LOAD_FIELDS,
});

/** The request may have run and there is no answer. */
const LOSS_SCHEMA = z.object({
  kind: z.literal('loss'),
  callId: CALL_ID_SCHEMA,
  reason: z.string(),
  ...LOAD_FIELDS,
});

/** What the gate's target offers now; sent at the start and at each change. */
const TARGET_STATE_SCHEMA = z.object({
  kind: z.literal('target-state'),
  /** Empty if there is no target. */
  serviceId: z.string(),
  isAccepting: z.boolean(),
  slots: z.number().int().min(0),
  /** Time for which the target is still slow after its start. */
  coldMs: DURATION_MS_SCHEMA,
});

const SCHEMAS = [
  OFFER_SCHEMA,
  CANCEL_SCHEMA,
  PING_SCHEMA,
  PONG_SCHEMA,
  ANSWER_SCHEMA,
  REFUSAL_SCHEMA,
  LOSS_SCHEMA,
  TARGET_STATE_SCHEMA,
] as const;

/** Any frame between an entry and a gate. */
export type RelayFrame = z.infer<(typeof SCHEMAS)[number]>;
/** Selects one frame by its kind. */
export type RelayFrameOf<K extends RelayFrame['kind']> = Extract<
  RelayFrame,
  {kind: K}
>;

const packr = new Packr({useRecords: false, encodeUndefinedAsNil: false});

const LAYOUTS = SCHEMAS.map(schema => ({
  schema,
  kind: schema.shape.kind.value,
  names: Object.keys(schema.shape).filter(name => name !== 'kind'),
}));
const INDEX_BY_KIND = new Map(
  LAYOUTS.map((layout, index) => [layout.kind, index]),
);

/** Encodes a frame. */
export function encodeRelayFrame(frame: RelayFrame): Buffer {
  const index = INDEX_BY_KIND.get(frame.kind) ?? -1;
  const fields: Readonly<Record<string, unknown>> = frame;
  const names = LAYOUTS[index]?.names ?? [];
  return packr.pack([index, ...names.map(name => fields[name])]);
}

/** Decodes and checks a frame. */
export function decodeRelayFrame(
  bytes: Uint8Array,
): Result<RelayFrame, DecodeError> {
  let values: unknown;
  try {
    values = packr.unpack(bytes);
  } catch (error) {
    return Err({kind: 'undecodable', message: String(error)});
  }
  if (!Array.isArray(values)) return Err({kind: 'invalid', message: 'no list'});
  const layout = LAYOUTS[Number(values[0])];
  if (!layout) return Err({kind: 'invalid', message: 'unknown kind'});
  const fields: Record<string, unknown> = {kind: layout.kind};
  for (const [index, name] of layout.names.entries()) {
    fields[name] = values[index + 1];
  }
  const parsed = layout.schema.safeParse(fields);
  if (parsed.success) return Ok(parsed.data);
  return Err({kind: 'invalid', message: parsed.error.message});
}
