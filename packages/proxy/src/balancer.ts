/** Chooses the target of a request. */

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

/** What a choice depends on. */
export interface BalanceRequest {
  readonly service: ServiceRecord;
  readonly membership: MembershipView;
  readonly state: ConfigurationState;
  /** Instances that this request has been sent to. */
  readonly tried: ReadonlySet<InstanceId>;
}

/** Load per slot from which the next nearest targets are considered too. */
const SPILL_LOAD_PER_SLOT = 1.5;
const CHOICES = 2;

/** Power of two choices among the nearest targets that are in order. */
export class Balancer {
  constructor(
    private readonly dataCentreId: DataCentreId,
    private readonly health: GateHealth,
    private readonly random: RandomSource,
  ) {}

  /** Returns the member to send to, or undefined if none is left. */
  choose(request: BalanceRequest): MemberRecord | undefined {
    const tiers = this.splitByDistance(request);
    let fallback: MemberRecord | undefined;
    for (const tier of tiers) {
      const healthy = tier.filter(
        member => !this.health.isEjected(member.instanceId),
      );
      const best = this.chooseOfTwo(healthy);
      if (!best) continue;
      if (this.getLoadPerSlot(best) < SPILL_LOAD_PER_SLOT) return best;
      fallback ??= best;
    }
    // Everything is ejected: trying one beats refusing on a guess.
    return fallback ?? pickRandom(this.random, tiers.flat());
  }

  private chooseOfTwo(
    members: readonly MemberRecord[],
  ): MemberRecord | undefined {
    let best: MemberRecord | undefined;
    for (let choice = 0; choice < CHOICES; choice += 1) {
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

  private splitByDistance(request: BalanceRequest): MemberRecord[][] {
    const {service, membership, state, tried} = request;
    const own: MemberRecord[] = [];
    const sameRegion: MemberRecord[] = [];
    const elsewhere: MemberRecord[] = [];
    const unreachable: MemberRecord[] = [];
    const ownRegion = getRegion(state, this.dataCentreId);
    for (const member of membership.targetsByService.get(service.id) ?? []) {
      if (tried.has(member.instanceId)) continue;
      if (!service.dataCentreIds.includes(member.dataCentreId)) continue;
      if (member.dataCentreId === this.dataCentreId) own.push(member);
      else if (membership.unreachable.has(member.dataCentreId)) {
        unreachable.push(member);
      } else if (getRegion(state, member.dataCentreId) === ownRegion) {
        sameRegion.push(member);
      } else elsewhere.push(member);
    }
    return [own, sameRegion, elsewhere, unreachable];
  }
}

function getRegion(
  state: ConfigurationState,
  dataCentreId: DataCentreId,
): string | undefined {
  const record = state.records.get(makeRecordKey('data-centre', dataCentreId));
  return record?.kind === 'data-centre' ? record.region : undefined;
}
