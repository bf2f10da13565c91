/**
 * Branded identifiers. A brand keeps an id of one kind from being passed where
 * another kind is expected; it has no run-time cost.
 */

declare const brand: unique symbol;

/** A string that carries the compile-time brand `B`. */
export type Branded<B extends string> = string & {readonly [brand]: B};

/** Names a data centre. */
export type DataCentreId = Branded<'DataCentreId'>;
/** Names the owner of services and rules. */
export type OwnerId = Branded<'OwnerId'>;
/** Names a service that targets provide. */
export type ServiceId = Branded<'ServiceId'>;
/** Names a routing rule. */
export type RuleId = Branded<'RuleId'>;
/** Names a set of bounds on callers. */
export type LimitsId = Branded<'LimitsId'>;
/** Names one change of the configuration; unique for all time. */
export type ChangeId = Branded<'ChangeId'>;
/** Names one daemon's slot; survives a restart of the process in that slot. */
export type InstanceId = Branded<'InstanceId'>;
/** `kind/id` of a record. */
export type RecordKey = Branded<'RecordKey'>;
/** The first 128 bits of a SHA-256, in base64url. */
export type Digest = Branded<'Digest'>;

/** Brands a string that has been checked by its schema or made by the caller. */
export function brandId<T extends Branded<string>>(value: string): T {
  return value as T;
}
