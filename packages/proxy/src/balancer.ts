/** Locality-aware load balancing over targets. */

import type {
  ConfigurationState,
  DataCentreId,
  InstanceId,
  ServiceRecord,
} from '@cassiaknot/inventory';
import {makeRecordKey} from '@cassiaknot/inventory';
import type {MembershipView, RandomSource} from '@cassiaknot/coordination';
import {pickRandom} from '@cassiaknot/coordination';
import type {MemberRecord} from '@cassiaknot/peer-protocol';
import type {GateHealth} from './gate_health.js';

/** Input of a load-balancing decision. */
export interface BalanceRequest {
  readonly service: ServiceRecord;
  readonly membership: MembershipView;
  readonly state: ConfigurationState;
  /** Instances to which earlier attempts of this request were sent. */
  readonly attemptedInstances: ReadonlySet<InstanceId>;
}

/** Load per slot from which requests spill over to the next locality tier. */
const SPILLOVER_LOAD_PER_SLOT = 1.5;
const CANDIDATE_COUNT = 2;

/** Power of two choices among the nearest healthy targets. */
export class Balancer {
  constructor(
    private readonly dataCentreId: DataCentreId,
    private readonly health: GateHealth,
    private readonly random: RandomSource,
  ) {}

  /** Returns the member to send to, or undefined if there is none. */
  choose(request: BalanceRequest): MemberRecord | undefined {
    const tiers = this.groupByLocality(request);
    let fallback: MemberRecord | undefined;
    for (const tier of tiers) {
      const healthy = tier.filter(
        member => !this.health.isEjected(member.instanceId),
      );
      const best = this.pickLeastLoadedOfTwo(healthy);
      if (!best) continue;
      if (this.getLoadPerSlot(best) < SPILLOVER_LOAD_PER_SLOT) return best;
      fallback ??= best;
    }
    // If the gates of all these targets are ejected, try one anyway: ejection
    // is only an estimate, which doesn't justify refusing the request.
    return fallback ?? pickRandom(this.random, tiers.flat());
  }

  private pickLeastLoadedOfTwo(
    members: readonly MemberRecord[],
  ): MemberRecord | undefined {
    let best: MemberRecord | undefined;
    for (let choice = 0; choice < CANDIDATE_COUNT; choice += 1) {
      const candidate = pickRandom(this.random, members);
      if (!candidate) return undefined;
      if (!best || this.getLoadPerSlot(candidate) < this.getLoadPerSlot(best)) {
        best = candidate;
      }
    }
    return best;
  }

  private getLoadPerSlot(member: MemberRecord): number {
    const slots = member.target?.slots ?? 1;
    return this.health.estimateLoad(member.instanceId) / slots;
  }

  private groupByLocality(request: BalanceRequest): MemberRecord[][] {
    const {service, membership, state, attemptedInstances} = request;
    const local: MemberRecord[] = [];
    const sameRegion: MemberRecord[] = [];
    const otherRegions: MemberRecord[] = [];
    const unreachable: MemberRecord[] = [];
    const localRegion = getRegion(state, this.dataCentreId);
    for (const member of membership.targetsByService.get(service.id) ?? []) {
      if (attemptedInstances.has(member.instanceId)) continue;
      if (!service.dataCentreIds.includes(member.dataCentreId)) continue;
      if (member.dataCentreId === this.dataCentreId) local.push(member);
      else if (membership.unreachable.has(member.dataCentreId)) {
        unreachable.push(member);
      } else if (getRegion(state, member.dataCentreId) === localRegion) {
        sameRegion.push(member);
      } else otherRegions.push(member);
    }
    return [local, sameRegion, otherRegions, unreachable];
  }
}

function getRegion(
  state: ConfigurationState,
  dataCentreId: DataCentreId,
): string | undefined {
  const record = state.records.get(makeRecordKey('data-centre', dataCentreId));
  return record?.kind === 'data-centre' ? record.region : undefined;
}
