/**
 * Branded identifiers. A brand is a compile-time tag that prevents an id of one
 * kind from being passed where another kind is expected.
 */

declare const brand: unique symbol;

/** A string with the compile-time brand `B`. */
export type Branded<B extends string> = string & {readonly [brand]: B};

/** Identifies a data centre. */
export type DataCentreId = Branded<'DataCentreId'>;
/** Identifies an owner of services. */
export type OwnerId = Branded<'OwnerId'>;
/** Identifies a service that targets provide. */
export type ServiceId = Branded<'ServiceId'>;
/** Identifies a routing rule. */
export type RuleId = Branded<'RuleId'>;
/** Identifies a set of limits on callers. */
export type LimitsId = Branded<'LimitsId'>;
/** Identifies a workspace, whose callers share keys and limits. */
export type WorkspaceId = Branded<'WorkspaceId'>;
/** Identifies a change of the configuration; never reused. */
export type ChangeId = Branded<'ChangeId'>;
/** Identifies an instance; kept across restarts of the daemon on it. */
export type InstanceId = Branded<'InstanceId'>;
/** Key of a record within a state, as `kind/id`. */
export type RecordKey = Branded<'RecordKey'>;
/** First 128 bits of a SHA-256 hash, in base64url. */
export type Digest = Branded<'Digest'>;

/**
 * Brands a string without checking it; the string must have been validated or
 * generated as an id of this kind.
 */
export function brandId<T extends Branded<string>>(value: string): T {
  return value as T;
}
