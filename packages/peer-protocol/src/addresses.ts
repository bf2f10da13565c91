/** Network addresses of daemons, as `host:port`. */

import type {Branded} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import {z} from 'zod';

/** Where a daemon accepts links from peers. */
export type PeerAddress = Branded<'PeerAddress'>;
/** Where a daemon accepts requests for its own target. */
export type GateAddress = Branded<'GateAddress'>;

const HOST_PORT_SCHEMA = z
  .string()
  .max(64)
  .regex(/^[0-9a-zA-Z.[\]:-]+:\d{1,5}$/);

/** Checks a peer address. */
export const PEER_ADDRESS_SCHEMA = HOST_PORT_SCHEMA.transform(value =>
  brandId<PeerAddress>(value),
);
/** Checks a gate address. */
export const GATE_ADDRESS_SCHEMA = HOST_PORT_SCHEMA.transform(value =>
  brandId<GateAddress>(value),
);

/** An address in its parts. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Splits `host:port`. */
export function splitAddress(address: string): HostPort {
  const separator = address.lastIndexOf(':');
  return {
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
  };
}
