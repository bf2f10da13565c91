/** Chooses the peers in other data centres that an uplink links to. */

import type {DataCentreId, InstanceId} from '@cassiaknot/inventory';

/** Candidate peers in each other data centre, in the order to try them. */
export type RemoteCandidates = ReadonlyMap<DataCentreId, readonly InstanceId[]>;

/** Time after which the next candidate of a data centre is tried. */
const ROTATION_INTERVAL_MS = 5_000;

/** Tracks how long each remote data centre has been without a link. */
export class RemoteLinks {
  private readonly unlinkedSinceMs = new Map<DataCentreId, number>();

  /** Returns one peer to link to in each data centre. */
  choosePeers(
    candidatesByDataCentre: RemoteCandidates,
    isLinked: (instanceId: InstanceId) => boolean,
  ): InstanceId[] {
    const chosen: InstanceId[] = [];
    for (const [dataCentreId, candidates] of candidatesByDataCentre) {
      const linked = candidates.find(isLinked);
      if (linked !== undefined) {
        this.unlinkedSinceMs.delete(dataCentreId);
        chosen.push(linked);
        continue;
      }
      const candidate = this.selectCandidate(dataCentreId, candidates);
      if (candidate !== undefined) chosen.push(candidate);
    }
    return chosen;
  }

  /** Returns the data centres without a link for longer than `afterMs`. */
  findUnreachable(
    candidatesByDataCentre: RemoteCandidates,
    afterMs: number,
  ): DataCentreId[] {
    const cutoffMs = performance.now() - afterMs;
    const unreachable: DataCentreId[] = [];
    for (const dataCentreId of candidatesByDataCentre.keys()) {
      const sinceMs = this.unlinkedSinceMs.get(dataCentreId);
      if (sinceMs !== undefined && sinceMs < cutoffMs) {
        unreachable.push(dataCentreId);
      }
    }
    return unreachable.sort();
  }

  /** Restarts all timers after a pause of this process. */
  reset(): void {
    this.unlinkedSinceMs.clear();
  }

  private selectCandidate(
    dataCentreId: DataCentreId,
    candidates: readonly InstanceId[],
  ): InstanceId | undefined {
    const nowMs = performance.now();
    const sinceMs = this.unlinkedSinceMs.get(dataCentreId) ?? nowMs;
    this.unlinkedSinceMs.set(dataCentreId, sinceMs);
    const attempt = Math.floor((nowMs - sinceMs) / ROTATION_INTERVAL_MS);
    return candidates[attempt % candidates.length];
  }
}
