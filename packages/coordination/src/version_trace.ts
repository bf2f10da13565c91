/** Steps by which new versions reach this process, for its log. */

/** Log fields that describe how a version arrived. */
export type VersionTraceFields = Readonly<Record<string, number>>;

/** Records the steps from the first announcement of a version to its installation. */
export class VersionTrace {
  private newestVersion = 0;
  /** When a version newer than the one held was first announced. */
  private behindSinceMs: number | undefined;
  /** Links that the newest version had crossed to the peer that announced it. */
  private hops: number | undefined;
  private fetchCount = 0;
  private lastFetchAtMs: number | undefined;
  private lastReplyAtMs: number | undefined;

  /** Records that a peer announced a version newer than the one held. */
  recordAnnouncement(version: number, hops: number | undefined): void {
    this.behindSinceMs ??= performance.now();
    if (version < this.newestVersion) return;
    if (version > this.newestVersion || hops !== undefined) this.hops = hops;
    this.newestVersion = version;
  }

  recordFetch(): void {
    this.fetchCount += 1;
    this.lastFetchAtMs = performance.now();
  }

  recordReply(): void {
    this.lastReplyAtMs = performance.now();
  }

  /** Links that the newest version has crossed to this process. */
  getHops(): number {
    return (this.hops ?? 0) + 1;
  }

  /** Time for which a newer version than the one held has been known. */
  getBehindMs(): number {
    if (this.behindSinceMs === undefined) return 0;
    return performance.now() - this.behindSinceMs;
  }

  /** Describes the arrival of a version and starts anew unless a newer one is known. */
  finish(version: number, isFromPeer: boolean): VersionTraceFields {
    const nowMs = performance.now();
    const since = (timeMs: number | undefined) =>
      timeMs === undefined ? -1 : Math.round(nowMs - timeMs);
    const fields = {
      hops: isFromPeer ? this.getHops() : 0,
      sinceAnnouncedMs: since(this.behindSinceMs),
      sinceFetchMs: since(this.lastFetchAtMs),
      sinceReplyMs: since(this.lastReplyAtMs),
      fetches: this.fetchCount,
    };
    this.fetchCount = 0;
    this.lastFetchAtMs = undefined;
    this.lastReplyAtMs = undefined;
    this.behindSinceMs = version < this.newestVersion ? nowMs : undefined;
    return fields;
  }
}
