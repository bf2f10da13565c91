/** Network addresses of daemons, as `host:port`. */

import type {Branded} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import {z} from 'zod';

/** Address on which a daemon accepts links from its peers. */
export type PeerAddress = Branded<'PeerAddress'>;
/** Address on which a daemon accepts requests for its local target. */
export type GateAddress = Branded<'GateAddress'>;

const MAX_PORT = 65_535;

/** Validates an address that a client can connect to. */
export const HOST_PORT_SCHEMA = z
  .string()
  .max(64)
  .regex(/^[0-9a-zA-Z.[\]:-]+:\d{1,5}$/, 'not host:port')
  .refine(isConnectable, 'host or port out of range');

/** Validates a peer address. */
export const PEER_ADDRESS_SCHEMA = HOST_PORT_SCHEMA.transform(value =>
  brandId<PeerAddress>(value),
);
/** Validates a gate address. */
export const GATE_ADDRESS_SCHEMA = HOST_PORT_SCHEMA.transform(value =>
  brandId<GateAddress>(value),
);

function isConnectable(address: string): boolean {
  const {port} = splitAddress(address);
  return port >= 1 && port <= MAX_PORT && URL.canParse(`http://${address}`);
}

/** Host and port of an address. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Splits `host:port` at the last colon; an IPv6 host keeps its brackets. */
export function splitAddress(address: string): HostPort {
  const separator = address.lastIndexOf(':');
  return {
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
  };
}
