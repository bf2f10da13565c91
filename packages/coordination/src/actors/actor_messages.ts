/** Messages exchanged between the actors of the control plane. */

import type {Branded, InstanceId} from '@cassiaknot/inventory';
import type {
  LinkCloseReason,
  MemberRecord,
  PeerAddress,
  PeerLink,
  PeerMessage,
  PeerMessageOf,
  TargetCapacity,
  VersionDigest,
  VersionedChange,
} from '@cassiaknot/peer-protocol';
import type {Result} from 'ts-results-es';
import type {CatchUp, LogError} from '../configuration_log.js';
import type {SourceReading} from '../configuration_source.js';
import type {DeferredRef} from './actor_support.js';

/** Identifies a link within this process. */
export type LinkId = Branded<'LinkId'>;

/** A peer that this daemon should have a link to. */
export interface DesiredPeer {
  readonly instanceId: InstanceId;
  readonly address: PeerAddress;
}

/** Messages to the links actor. */
export type LinksMessage =
  | {
      readonly kind: 'link-opened';
      readonly linkId: LinkId;
      readonly link: PeerLink;
      /** Address that was dialled; undefined for an inbound link. */
      readonly address: PeerAddress | undefined;
    }
  | {
      readonly kind: 'link-message';
      readonly linkId: LinkId;
      readonly message: PeerMessage;
    }
  | {
      readonly kind: 'link-closed';
      readonly linkId: LinkId;
      readonly reason: LinkCloseReason;
      readonly address: PeerAddress | undefined;
    }
  | {
      readonly kind: 'send';
      readonly linkId: LinkId;
      readonly message: PeerMessage;
    }
  | {
      readonly kind: 'broadcast';
      readonly message: PeerMessage;
      readonly excludedLinkId: LinkId | undefined;
    }
  | {readonly kind: 'set-desired'; readonly desired: readonly DesiredPeer[]}
  | {readonly kind: 'dial'; readonly addresses: readonly PeerAddress[]}
  | {readonly kind: 'probe'}
  /** Dials again the peers that are not linked; used while the process starts. */
  | {readonly kind: 'redial'}
  /** Sends a heartbeat now if a newer contact with the source is to be passed on. */
  | {readonly kind: 'relay-contact'}
  | {readonly kind: 'tick'};

/** Messages to the membership actor. */
export type MembershipMessage =
  | {readonly kind: 'peer-up'; readonly linkId: LinkId; peerId: InstanceId}
  | {
      readonly kind: 'peer-down';
      readonly peerId: InstanceId;
      readonly heldVersion: number;
    }
  | {
      readonly kind: 'peer-digest';
      readonly linkId: LinkId;
      readonly digest: number;
    }
  | {
      readonly kind: 'peer-members';
      readonly linkId: LinkId;
      readonly message: PeerMessageOf<'members'>;
    }
  | {
      readonly kind: 'peer-buckets';
      readonly linkId: LinkId;
      readonly message: PeerMessageOf<'member-buckets'>;
    }
  | {readonly kind: 'update-own-record'; readonly change: OwnRecordChange}
  /**
   * Allows roles to be taken: records of members have arrived, no seed is
   * listed, or the join timeout has passed.
   */
  | {
      readonly kind: 'enable-roles';
      /** Whether no other member is listed, so that this one registers at once. */
      readonly isFirst: boolean;
    }
  | {readonly kind: 'flush'}
  | {readonly kind: 'tick'};

/** A change of this member's own record. */
export interface OwnRecordChange {
  readonly state?: MemberRecord['state'];
  /** `null` withdraws the target. */
  readonly target?: TargetCapacity | null;
}

/** Messages to the replica actor. */
export type ReplicaMessage =
  | {
      readonly kind: 'peer-tip';
      readonly linkId: LinkId;
      readonly tip: VersionDigest;
      /** Whether the link leads to another data centre. */
      readonly isRemote: boolean;
      /** Whether the peer has asked for the version and does not hold it yet. */
      readonly isExpected: boolean;
      /** Links that the version has crossed to the peer, if known. */
      readonly hops: number | undefined;
      /** The change that produced the tip, if the peer has sent it along. */
      readonly change: VersionedChange | undefined;
    }
  | {
      readonly kind: 'peer-message';
      readonly linkId: LinkId;
      readonly message:
        | PeerMessageOf<'get-changes'>
        | PeerMessageOf<'changes'>
        | PeerMessageOf<'snapshot'>;
    }
  /** A reply that has been passed on to peers and is to be applied. */
  | {
      readonly kind: 'passed-on';
      readonly linkId: LinkId;
      readonly message: PeerMessageOf<'changes'>;
    }
  | {readonly kind: 'peer-disconnected'; readonly linkId: LinkId}
  | {readonly kind: 'store-catch-up'; readonly catchUp: CatchUp}
  /** A new process may read the store if no peer supplies a configuration. */
  | {readonly kind: 'start-read-due'}
  /** The delay before a version is fetched from a peer has passed. */
  | {readonly kind: 'fetch-due'}
  | {readonly kind: 'fetch-timeout'; readonly fetchNumber: number};

/** Messages to the reader actor. */
export type ReaderMessage =
  | {readonly kind: 'set-role'; readonly isReader: boolean}
  /** Reads the head once, with or without the reader role. */
  | {readonly kind: 'read-once'}
  /** Reads the head once if this daemon has no configuration yet. */
  | {readonly kind: 'read-if-empty'}
  /** A peer supplies the first configuration of this daemon. */
  | {readonly kind: 'peer-supplies'}
  /** Checks the connection of a reader to the source. */
  | {readonly kind: 'probe'}
  | {readonly kind: 'probed'; readonly result: Result<number, LogError>}
  /** Checks whether the open watch has missed a change. */
  | {readonly kind: 'verify-watch'; readonly storeRevision: number}
  | {
      readonly kind: 'watch-verified';
      readonly watch: AbortController;
      readonly storeRevision: number;
      /** The version that the watch has missed, if any. */
      readonly result: Result<SourceReading | undefined, LogError>;
    }
  /** Checks whether any reader still reaches the source. */
  | {readonly kind: 'check-silence'}
  /** The head was read; `undefined` if a watch timed out. */
  | {readonly kind: 'head'; readonly reading: SourceReading | undefined}
  | {readonly kind: 'caught-up'; readonly reading: SourceReading}
  | {readonly kind: 'failed'; readonly message: string}
  /** The store has come back from an older copy: revisions read before are void. */
  | {readonly kind: 'superseded'}
  | {readonly kind: 'continue'};

/** Messages to the seeds actor. */
export type SeedsMessage =
  | {
      readonly kind: 'set-roles';
      readonly isSeed: boolean;
      readonly isUplink: boolean;
    }
  | {readonly kind: 'links'; readonly count: number}
  | {readonly kind: 'list'}
  | {readonly kind: 'listed'; readonly addresses: readonly PeerAddress[]}
  | {readonly kind: 'list-failed'; readonly message: string}
  | {readonly kind: 'renew'}
  /** The store is back after an outage, in which leases may have ended. */
  | {readonly kind: 'store-recovered'}
  /** The store has come back from an older copy, in which the seed may be missing. */
  | {readonly kind: 'store-restored'}
  | {readonly kind: 'renewed'; readonly isRegistered: boolean}
  | {readonly kind: 'stop'};

/** References to the actors of the control plane. */
export interface ActorDirectory {
  readonly links: DeferredRef<LinksMessage>;
  readonly membership: DeferredRef<MembershipMessage>;
  readonly replica: DeferredRef<ReplicaMessage>;
  readonly reader: DeferredRef<ReaderMessage>;
  readonly seeds: DeferredRef<SeedsMessage>;
}
