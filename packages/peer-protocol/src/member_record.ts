/** What daemons tell one another about a member of the mesh. */

import type {DataCentreId, InstanceId, ServiceId} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import {z} from 'zod';
import {GATE_ADDRESS_SCHEMA, PEER_ADDRESS_SCHEMA} from './addresses.js';

/**
 * Life cycle of a member. `suspect` and `dead` are claims by others, which the
 * member refutes with a higher incarnation.
 */
export const MEMBER_STATE_SCHEMA = z.enum([
  'joining',
  'serving',
  'draining',
  'suspect',
  'left',
  'dead',
]);

/** Checks an instance id. */
export const INSTANCE_ID_SCHEMA = z
  .string()
  .min(1)
  .max(64)
  .transform(value => brandId<InstanceId>(value));

/** Checks a data centre id. */
export const DATA_CENTRE_ID_SCHEMA = z
  .string()
  .min(1)
  .max(64)
  .transform(value => brandId<DataCentreId>(value));

/** Checks a service id. */
export const SERVICE_ID_SCHEMA = z
  .string()
  .min(1)
  .max(64)
  .transform(value => brandId<ServiceId>(value));

/** Checks the capacity that a target announced. */
export const TARGET_CAPACITY_SCHEMA = z.object({
  serviceId: SERVICE_ID_SCHEMA,
  slots: z.number().int().min(1),
  connections: z.number().int().min(1),
});

/** Checks a member record. */
export const MEMBER_RECORD_SCHEMA = z.object({
  instanceId: INSTANCE_ID_SCHEMA,
  incarnation: z.number().int().min(0),
  state: MEMBER_STATE_SCHEMA,
  dataCentreId: DATA_CENTRE_ID_SCHEMA,
  peerAddress: PEER_ADDRESS_SCHEMA,
  gateAddress: GATE_ADDRESS_SCHEMA,
  target: TARGET_CAPACITY_SCHEMA.optional(),
  heldVersion: z.number().int().min(0),
  /** Data centres that this member, as a reader, can't link to. */
  unreachable: z.array(DATA_CENTRE_ID_SCHEMA).optional(),
});

/** State of a member. */
export type MemberState = z.infer<typeof MEMBER_STATE_SCHEMA>;
/** Capacity of the target beside a daemon. */
export type TargetCapacity = z.infer<typeof TARGET_CAPACITY_SCHEMA>;
/** One member as known to the others. */
export type MemberRecord = z.infer<typeof MEMBER_RECORD_SCHEMA>;
