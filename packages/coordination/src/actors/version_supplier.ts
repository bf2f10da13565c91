/** Supplies peers with the versions that this process holds. */

import type {PeerMessage, PeerMessageOf} from '@cassiaknot/peer-protocol';
import type {ConfigReplica} from '../config_replica.js';
import {getPreviousVersion} from '../config_replica.js';
import {findDifferingBuckets, getBucketRecords} from '../record_buckets.js';
import type {LinkId} from './actor_messages.js';

type ChangesMessage = PeerMessageOf<'changes'>;
type VersionRequest = PeerMessageOf<'get-changes'>;

/** A reply with all changes after a version up to the newest one. */
export interface KnownReply {
  readonly sinceVersion: number;
  readonly message: ChangesMessage;
}

/** Replies to requests for versions, at once or when the version arrives. */
export class VersionSupplier {
  /** Replies of the newest version by the version of the peer; each is encoded once. */
  private readonly replies = new Map<number, ChangesMessage>();
  /** Requests for versions that this process does not hold yet. */
  private readonly waitingRequests = new Map<LinkId, VersionRequest>();

  constructor(
    private readonly replica: ConfigReplica,
    private readonly send: (linkId: LinkId, message: PeerMessage) => void,
  ) {}

  /**
   * Replies in the order of the requests; a second one means that the first has
   * timed out.
   */
  receive(linkId: LinkId, request: VersionRequest): void {
    const earlier = this.waitingRequests.get(linkId);
    this.waitingRequests.delete(linkId);
    if (earlier) this.reply(linkId, earlier);
    if (this.isHeld(request)) this.reply(linkId, request);
    else this.waitingRequests.set(linkId, request);
  }

  /**
   * Passes a reply on to the peers that wait for its versions, before it is applied: they
   * check it themselves. Returns `false` if none does.
   */
  passOn(message: ChangesMessage): boolean {
    const first = message.changes.at(0);
    const last = message.changes.at(-1);
    if (!first || !last) return false;
    const previousVersion = getPreviousVersion(first);
    let isPassedOn = false;
    for (const [linkId, request] of this.waitingRequests) {
      const {expectedVersion = 0, sinceVersion, snapshotOnly} = request;
      if (snapshotOnly || sinceVersion !== previousVersion) continue;
      if (last.version < expectedVersion) continue;
      this.waitingRequests.delete(linkId);
      this.send(linkId, message);
      isPassedOn = true;
    }
    return isPassedOn;
  }

  /**
   * Replies to the requests for a version that has arrived. A reply of a peer that
   * led to it is passed on as it is, so that it is not encoded again.
   */
  handleNewVersion(received: KnownReply | undefined): void {
    this.replies.clear();
    if (received) this.replies.set(received.sinceVersion, received.message);
    for (const [linkId, request] of this.waitingRequests) {
      if (!this.isHeld(request)) continue;
      this.waitingRequests.delete(linkId);
      this.reply(linkId, request);
    }
  }

  removePeer(linkId: LinkId): void {
    this.waitingRequests.delete(linkId);
  }

  private isHeld({expectedVersion = 0}: VersionRequest): boolean {
    return expectedVersion <= this.replica.getTip().version;
  }

  private reply(linkId: LinkId, request: VersionRequest): void {
    const {snapshotOnly, sinceVersion, bucketDigests} = request;
    if (!snapshotOnly) {
      const changes = this.getChangesReply(sinceVersion);
      if (changes) {
        this.send(linkId, changes);
        return;
      }
    }
    const installed = this.replica.getInstalled();
    const {version, digest} = installed;
    const buckets =
      bucketDigests && findDifferingBuckets(installed, bucketDigests);
    this.send(linkId, {
      kind: 'snapshot',
      version,
      digest,
      records: buckets
        ? getBucketRecords(installed, buckets)
        : [...installed.records.values()],
      ...(buckets ? {buckets} : {}),
    });
    const after = this.replica.getChangesSince(version) ?? [];
    this.send(linkId, {kind: 'changes', changes: [...after]});
  }

  private getChangesReply(sinceVersion: number): ChangesMessage | undefined {
    const known = this.replies.get(sinceVersion);
    if (known) return known;
    const changes = this.replica.getChangesSince(sinceVersion);
    if (!changes) return undefined;
    const reply: ChangesMessage = {kind: 'changes', changes: [...changes]};
    this.replies.set(sinceVersion, reply);
    return reply;
  }
}
