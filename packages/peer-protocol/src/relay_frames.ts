/**
 * Frames between an entry, which accepts requests from callers, and a gate,
 * which admits them to its target. One link multiplexes many requests. Fields
 * are encoded by position, without names, because most frames are small.
 */

import {brandId} from '@cassiaknot/inventory';
import type {Branded, RuleId, WorkspaceId} from '@cassiaknot/inventory';
import {Packr} from 'msgpackr';
import type {Result} from 'ts-results-es';
import {Err, Ok} from 'ts-results-es';
import {z} from 'zod';
import type {DecodeError} from './codec.js';
import {INSTANCE_ID_SCHEMA, SERVICE_ID_SCHEMA} from './member_record.js';

/** Identifies a request in flight; unique within one link. */
export type CallId = Branded<'CallId'>;

const CALL_ID_SCHEMA = z
  .string()
  .max(32)
  .transform(value => brandId<CallId>(value));
const DURATION_MS_SCHEMA = z.number().min(0).max(86_400_000);
const BYTES_SCHEMA = z.custom<Uint8Array>(value => value instanceof Uint8Array);
const STRINGS_SCHEMA = z.array(z.string());

/** Clock of the sender; daemons of older versions send none. */
const CLOCK_FIELDS = {
  /** Steady clock when the frame was sent, with an origin of its own. */
  sentAtMs: z.number().optional(),
  /** Increases when the clock of the sender has stood still. */
  clockEpoch: z.number().int().optional(),
};

/** Forwards a request to a gate. */
const OFFER_SCHEMA = z.object({
  kind: z.literal('offer'),
  callId: CALL_ID_SCHEMA,
  requestId: z.string(),
  serviceId: SERVICE_ID_SCHEMA,
  ruleId: z.string().transform(value => brandId<RuleId>(value)),
  method: z.string(),
  /** Path and query. */
  path: z.string(),
  /** Forwarded headers, as alternating names and values. */
  headers: STRINGS_SCHEMA,
  body: BYTES_SCHEMA,
  /** Service that sent the request. */
  callerServiceId: z.string(),
  /** Time left until the deadline of the caller. */
  remainingMs: DURATION_MS_SCHEMA,
  /** Longest time that the request may queue for a slot at this gate. */
  maxWaitMs: DURATION_MS_SCHEMA,
  /** Latency objective of the rule. */
  objectiveMs: DURATION_MS_SCHEMA,
  /** Time left within the latency objective; negative once it is missed. */
  objectiveLeftMs: z.number(),
  /** Order in which requests are served under load; 0 is served first. */
  urgency: z.number().int().min(0),
  isIdempotent: z.boolean(),
  ...CLOCK_FIELDS,
  /** Workspace of the caller, if its request carried a key. */
  workspaceId: z
    .string()
    .transform(value => brandId<WorkspaceId>(value))
    .optional(),
  /**
   * Longest expected time until the response above which the entry prefers another
   * gate; only for targets that report their pace.
   */
  maxFinishMs: DURATION_MS_SCHEMA.optional(),
  /** Set if the caller is in another data centre, whose own callers come first. */
  isFromElsewhere: z.boolean().optional(),
});

/**
 * Cancels a forwarded request whose caller has disconnected or already has a
 * response.
 */
const CANCEL_SCHEMA = z.object({
  kind: z.literal('cancel'),
  callId: CALL_ID_SCHEMA,
});

/** Checks that the link still carries frames in both directions. */
const PING_SCHEMA = z.object({
  kind: z.literal('ping'),
  nonce: z.number(),
  ...CLOCK_FIELDS,
});
const PONG_SCHEMA = z.object({kind: z.literal('pong'), nonce: z.number()});

/** Load of the target, as estimated for the route of the request. */
const LOAD_FIELDS = {
  /** Expected queueing time for a slot. */
  waitMs: DURATION_MS_SCHEMA,
  /** Expected time for which the request runs; negative if unknown. */
  runMs: z.number(),
  /** Delay of the offer beyond that of the fastest one of its link. */
  transitMs: z.number().optional(),
};

/**
 * What a gate has learned of its target; only if the target reports its pace. They
 * stand at the end of their frames, since fields are encoded by position.
 */
const TARGET_FIELDS = {
  /** How long work takes at the target now; 1 as usual, included in `runMs`. */
  pace: z.number().positive().optional(),
  /** Requests that the target runs well at a time. */
  limit: z.number().int().min(0).optional(),
};

/** Complete response of the target. */
const ANSWER_SCHEMA = z.object({
  kind: z.literal('answer'),
  callId: CALL_ID_SCHEMA,
  statusCode: z.number().int(),
  headers: STRINGS_SCHEMA,
  body: BYTES_SCHEMA,
  /** Whether the response of the target declared where its body ends. */
  isFramed: z.boolean(),
  ...LOAD_FIELDS,
  /** Whether the target is about to leave. */
  isTargetLeaving: z.boolean().optional(),
  ...TARGET_FIELDS,
});

/** The target has certainly not run the request, so a retry is safe. */
const REFUSAL_SCHEMA = z.object({
  kind: z.literal('refusal'),
  callId: CALL_ID_SCHEMA,
  reason: z.string(),
  /** Whether the request reached the target and the target rejected it. */
  hasArrived: z.boolean(),
  ...LOAD_FIELDS,
  ...TARGET_FIELDS,
});

/** No response; the target may or may not have run the request. */
const LOSS_SCHEMA = z.object({
  kind: z.literal('loss'),
  callId: CALL_ID_SCHEMA,
  reason: z.string(),
  ...LOAD_FIELDS,
  ...TARGET_FIELDS,
});

/** State of the gate's target; sent when a link opens and on each change. */
const TARGET_STATE_SCHEMA = z.object({
  kind: z.literal('target-state'),
  /** Empty if there is no target. */
  serviceId: z.string(),
  isAccepting: z.boolean(),
  slots: z.number().int().min(0),
  /** Remaining warm-up time, in which the target still responds slowly. */
  coldMs: DURATION_MS_SCHEMA,
  /** Identify the start of the target, as far as they are known. */
  targetId: z.string().optional(),
  startedAtMs: z.number().optional(),
});

const REQUEST_NUMBER_SCHEMA = z.number().int().min(0);
const PERMIT_COUNT_SCHEMA = z.number().int().min(0).max(1_000_000_000);

/**
 * Asks the lender of a workspace for permits. Without any count it asks an instance
 * to vote for the sender as the lender.
 */
const PERMIT_REQUEST_SCHEMA = z.object({
  kind: z.literal('permit-request'),
  /** Unique within the process of the sender. */
  requestNumber: REQUEST_NUMBER_SCHEMA,
  workspaceId: z
    .string()
    .max(64)
    .transform(value => brandId<WorkspaceId>(value)),
  count: PERMIT_COUNT_SCHEMA,
  /** Unused permits that the sender no longer holds. */
  returnedCount: PERMIT_COUNT_SCHEMA,
  /** Instance that asks for a vote; omitted in requests for permits. */
  candidateId: INSTANCE_ID_SCHEMA.optional(),
});

/** Lends permits, or votes for the candidate with a count of 1. */
const PERMIT_GRANT_SCHEMA = z.object({
  kind: z.literal('permit-grant'),
  requestNumber: REQUEST_NUMBER_SCHEMA,
  count: PERMIT_COUNT_SCHEMA,
  /** Validity of the permits, counted from when the request was sent. */
  validMs: DURATION_MS_SCHEMA,
  /** Time until further permits are likely; 0 if all were granted. */
  retryAfterMs: DURATION_MS_SCHEMA,
});

// The order of the schemas and of their fields is part of the wire format.
const SCHEMAS = [
  OFFER_SCHEMA,
  CANCEL_SCHEMA,
  PING_SCHEMA,
  PONG_SCHEMA,
  ANSWER_SCHEMA,
  REFUSAL_SCHEMA,
  LOSS_SCHEMA,
  TARGET_STATE_SCHEMA,
  PERMIT_REQUEST_SCHEMA,
  PERMIT_GRANT_SCHEMA,
] as const;

/** Any frame between an entry and a gate. */
export type RelayFrame = z.infer<(typeof SCHEMAS)[number]>;
/** Frame type with the given kind. */
export type RelayFrameOf<K extends RelayFrame['kind']> = Extract<
  RelayFrame,
  {kind: K}
>;

const packr = new Packr({useRecords: false, encodeUndefinedAsNil: false});

const FRAME_LAYOUTS = SCHEMAS.map(schema => ({
  schema,
  kind: schema.shape.kind.value,
  fieldNames: Object.keys(schema.shape).filter(name => name !== 'kind'),
}));
const LAYOUT_INDEX_BY_KIND = new Map(
  FRAME_LAYOUTS.map((layout, index) => [layout.kind, index]),
);

/** Encodes a frame as a list: the index of its schema and its field values. */
export function encodeRelayFrame(frame: RelayFrame): Buffer {
  const index = LAYOUT_INDEX_BY_KIND.get(frame.kind) ?? -1;
  const fields: Readonly<Record<string, unknown>> = frame;
  const fieldNames = FRAME_LAYOUTS[index]?.fieldNames ?? [];
  return packr.pack([index, ...fieldNames.map(name => fields[name])]);
}

/** Decodes a frame and validates its fields. */
export function decodeRelayFrame(
  bytes: Uint8Array,
): Result<RelayFrame, DecodeError> {
  let raw: unknown;
  try {
    raw = packr.unpack(bytes);
  } catch (error) {
    return Err({kind: 'undecodable', message: String(error)});
  }
  if (!Array.isArray(raw)) return Err({kind: 'invalid', message: 'not a list'});
  const layout = FRAME_LAYOUTS[Number(raw[0])];
  if (!layout) return Err({kind: 'invalid', message: 'unknown frame kind'});
  const fields: Record<string, unknown> = {kind: layout.kind};
  for (const [index, name] of layout.fieldNames.entries()) {
    // An absent field is left out, as it was before encoding.
    const value: unknown = raw[index + 1];
    if (value !== undefined) fields[name] = value;
  }
  const parsed = layout.schema.safeParse(fields);
  if (parsed.success) return Ok(parsed.data);
  return Err({kind: 'invalid', message: parsed.error.message});
}
