/** Links of a reader to the other data centres, and those it has none to. */

import type {DataCentreId, InstanceId} from '@cassiaknot/inventory';

/** Candidates to link to in each other data centre, best first. */
export type RemoteCandidates = ReadonlyMap<DataCentreId, readonly InstanceId[]>;

/** Time after which the next candidate of a data centre is tried. */
const ROTATE_MS = 5_000;

/** Tracks for how long each data centre has been without a link. */
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
      const candidate = this.takeTurn(dataCentreId, candidates);
      if (candidate !== undefined) chosen.push(candidate);
    }
    return chosen;
  }

  /** Returns the data centres without a link for longer than a time. */
  findUnreachable(
    candidatesByDataCentre: RemoteCandidates,
    afterMs: number,
  ): DataCentreId[] {
    const horizonMs = performance.now() - afterMs;
    const unreachable: DataCentreId[] = [];
    for (const dataCentreId of candidatesByDataCentre.keys()) {
      const sinceMs = this.unlinkedSinceMs.get(dataCentreId);
      if (sinceMs !== undefined && sinceMs < horizonMs) {
        unreachable.push(dataCentreId);
      }
    }
    return unreachable.sort();
  }

  /** Starts all clocks anew after a pause of this process. */
  forgivePause(): void {
    this.unlinkedSinceMs.clear();
  }

  private takeTurn(
    dataCentreId: DataCentreId,
    candidates: readonly InstanceId[],
  ): InstanceId | undefined {
    const nowMs = performance.now();
    const sinceMs = this.unlinkedSinceMs.get(dataCentreId) ?? nowMs;
    this.unlinkedSinceMs.set(dataCentreId, sinceMs);
    const turn = Math.floor((nowMs - sinceMs) / ROTATE_MS);
    return candidates[turn % candidates.length];
  }
}
