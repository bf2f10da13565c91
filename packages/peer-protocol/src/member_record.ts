/** Membership records that daemons exchange. */

import type {DataCentreId, InstanceId, ServiceId} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import {z} from 'zod';
import {GATE_ADDRESS_SCHEMA, PEER_ADDRESS_SCHEMA} from './addresses.js';

/**
 * Life cycle of a member. Other members set `suspect` and `dead`; the member
 * itself refutes either by publishing a higher incarnation.
 */
export const MEMBER_STATE_SCHEMA = z.enum([
  'joining',
  'serving',
  'draining',
  'suspect',
  'left',
  'dead',
]);

/** Validates an instance id. */
export const INSTANCE_ID_SCHEMA = z
  .string()
  .min(1)
  .max(64)
  .transform(value => brandId<InstanceId>(value));

/** Validates a data centre id. */
export const DATA_CENTRE_ID_SCHEMA = z
  .string()
  .min(1)
  .max(64)
  .transform(value => brandId<DataCentreId>(value));

/** Validates a service id. */
export const SERVICE_ID_SCHEMA = z
  .string()
  .min(1)
  .max(64)
  .transform(value => brandId<ServiceId>(value));

/** Validates the capacity that a target announced. */
export const TARGET_CAPACITY_SCHEMA = z.object({
  serviceId: SERVICE_ID_SCHEMA,
  /** Requests that the target can run at the same time. */
  slots: z.number().int().min(1),
  /** Limit on connections to the target. */
  connections: z.number().int().min(1),
});

/** Validates a member record. */
export const MEMBER_RECORD_SCHEMA = z.object({
  instanceId: INSTANCE_ID_SCHEMA,
  incarnation: z.number().int().min(0),
  state: MEMBER_STATE_SCHEMA,
  dataCentreId: DATA_CENTRE_ID_SCHEMA,
  peerAddress: PEER_ADDRESS_SCHEMA,
  gateAddress: GATE_ADDRESS_SCHEMA,
  /** Absent while no target has announced itself. */
  target: TARGET_CAPACITY_SCHEMA.optional(),
  /** Bandwidth of the member's network link, if known. */
  linkMbps: z.number().min(0).optional(),
  /** Configuration version that the member has in use. */
  heldVersion: z.number().int().min(0),
  /**
   * Data centres to which this member cannot open a link. Only uplinks set it:
   * the members that open links to other data centres.
   */
  unreachable: z.array(DATA_CENTRE_ID_SCHEMA).optional(),
});

export type MemberState = z.infer<typeof MEMBER_STATE_SCHEMA>;
/** Capacity of the target that runs beside a daemon. */
export type TargetCapacity = z.infer<typeof TARGET_CAPACITY_SCHEMA>;
/** A member as the other members know it. */
export type MemberRecord = z.infer<typeof MEMBER_RECORD_SCHEMA>;
