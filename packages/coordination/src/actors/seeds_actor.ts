/** Finds peers through the store and is found by them while it is a seed. */

import type {PeerAddress} from '@cassiaknot/peer-protocol';
import {PEER_ADDRESS_SCHEMA} from '@cassiaknot/peer-protocol';
import type {KeyValue, LeaseId} from '@cassiaknot/store';
import {Backoff} from '../backoff.js';
import {pickRandom, randomBetween} from '../random.js';
import type {SeedsMessage} from './actor_messages.js';
import type {MessageHandler} from './actor_support.js';
import type {ControlContext} from './control_context.js';

/** Prefix of the keys of seeds. */
export const SEED_PREFIX = 'cassiaknot/seed/';

const PART = 'seeds';
const MAX_LISTED_SEEDS = 500;
const LOCAL_SEEDS_DIALLED = 2;
const REMOTE_SEEDS_DIALLED = 1;
const MIN_RELIST_MS = 500;
const MAX_RELIST_MS = 10_000;
const RENEWALS_PER_TTL = 3;

/** Handles the mailbox of the seed keeper. */
export class SeedsActor implements MessageHandler<SeedsMessage> {
  private readonly backoff: Backoff;
  private isSeed = false;
  private isReader = false;
  private isStopped = false;
  private isRenewing = false;
  private linkCount = 0;
  private leaseId: LeaseId | undefined;

  constructor(private readonly context: ControlContext) {
    const options = {minDelayMs: MIN_RELIST_MS, maxDelayMs: MAX_RELIST_MS};
    this.backoff = new Backoff(options, context.options.random);
  }

  handle(message: SeedsMessage): void {
    switch (message.kind) {
      case 'set-roles':
        this.setRoles(message.isSeed, message.isReader);
        return;
      case 'links':
        this.linkCount = message.count;
        return;
      case 'list':
        this.list();
        return;
      case 'listed':
        this.dial(message.addresses);
        return;
      case 'list-failed':
        this.reportListFailure(message.message);
        return;
      case 'renew':
        this.renew();
        return;
      case 'renewed':
        this.scheduleRenewal(message.isHeld);
        return;
      case 'stop':
        this.stop();
        return;
    }
  }

  private setRoles(isSeed: boolean, isReader: boolean): void {
    this.isReader = isReader;
    const hadRole = this.isSeed;
    this.isSeed = isSeed;
    if (isSeed && !hadRole && !this.isRenewing) this.renew();
    if (!isSeed && hadRole) this.dropLease();
  }

  private list(): void {
    const {store} = this.context.options;
    void store.list(SEED_PREFIX, MAX_LISTED_SEEDS).then(result => {
      if (result.isErr()) {
        this.send({kind: 'list-failed', message: result.error.message});
        return;
      }
      const addresses = this.chooseSeeds(result.value);
      this.send({kind: 'listed', addresses});
    });
  }

  private chooseSeeds(seeds: readonly KeyValue[]): PeerAddress[] {
    const {dataCentreId} = this.context.options.identity;
    const localPrefix = `${SEED_PREFIX}${dataCentreId}/`;
    const local = seeds.filter(seed => seed.key.startsWith(localPrefix));
    const remote = seeds.filter(seed => !seed.key.startsWith(localPrefix));
    return [
      ...this.pickAddresses(local, LOCAL_SEEDS_DIALLED),
      ...this.pickAddresses(remote, REMOTE_SEEDS_DIALLED),
    ];
  }

  private pickAddresses(
    seeds: readonly KeyValue[],
    count: number,
  ): PeerAddress[] {
    const known = this.getLiveAddresses();
    const usable = new Set<PeerAddress>();
    for (const seed of seeds) {
      const address = PEER_ADDRESS_SCHEMA.safeParse(seed.value);
      if (address.success && !known.has(address.data)) usable.add(address.data);
    }
    const chosen: PeerAddress[] = [];
    while (chosen.length < count && usable.size > 0) {
      const address = pickRandom(this.context.options.random, [...usable]);
      if (address === undefined) break;
      usable.delete(address);
      chosen.push(address);
    }
    return chosen;
  }

  // A member already known needs no dial, unless there is no link at all.
  private getLiveAddresses(): ReadonlySet<PeerAddress> {
    const own = this.context.options.identity.peerAddress;
    const addresses = new Set<PeerAddress>([own]);
    if (this.linkCount === 0) return addresses;
    const {liveByDataCentre} = this.context.published.getMembership();
    for (const members of liveByDataCentre.values()) {
      for (const member of members) addresses.add(member.peerAddress);
    }
    return addresses;
  }

  private dial(addresses: readonly PeerAddress[]): void {
    const {links, membership} = this.context.directory;
    if (addresses.length === 0) membership.send({kind: 'settle'});
    links.send({kind: 'dial', addresses});
    this.scheduleList();
  }

  private reportListFailure(message: string): void {
    const {observer, overlay} = this.context.options;
    observer.log('warn', PART, `Can't list seeds: ${message}.`);
    const addresses = overlay.fallbackSeeds;
    this.context.directory.links.send({kind: 'dial', addresses});
    this.scheduleList();
  }

  private scheduleList(): void {
    if (this.isStopped) return;
    setTimeout(() => this.send({kind: 'list'}), this.getListDelayMs());
  }

  private getListDelayMs(): number {
    if (this.linkCount === 0) return this.backoff.next();
    this.backoff.reset();
    const {random, timing} = this.context.options;
    // Those that are not readers look again only in case they are alone.
    const periodMs = timing.seedListMs * (this.isReader ? 1 : 10);
    return randomBetween(random, periodMs * 0.5, periodMs * 1.5);
  }

  private renew(): void {
    if (!this.isSeed || this.isStopped) {
      this.isRenewing = false;
      return;
    }
    this.isRenewing = true;
    void this.keepSeedKey().then(isHeld =>
      this.send({kind: 'renewed', isHeld}),
    );
  }

  private async keepSeedKey(): Promise<boolean> {
    const {identity, store, timing} = this.context.options;
    if (this.leaseId !== undefined) {
      const alive = await store.keepLeaseAlive(this.leaseId);
      if (alive.isOk() && alive.value) return true;
    }
    const lease = await store.grantLease(timing.seedTtlMs);
    if (lease.isErr()) return false;
    const key = `${SEED_PREFIX}${identity.dataCentreId}/${identity.instanceId}`;
    const put = await store.put(key, identity.peerAddress, lease.value);
    if (put.isErr()) return false;
    this.leaseId = lease.value;
    return true;
  }

  private scheduleRenewal(isHeld: boolean): void {
    const {random, timing} = this.context.options;
    const periodMs = timing.seedTtlMs / RENEWALS_PER_TTL;
    const delayMs = isHeld
      ? periodMs
      : randomBetween(random, MIN_RELIST_MS, periodMs);
    setTimeout(() => this.send({kind: 'renew'}), delayMs);
  }

  private stop(): void {
    this.isStopped = true;
    this.dropLease();
  }

  private dropLease(): void {
    const {leaseId} = this;
    if (leaseId === undefined) return;
    this.leaseId = undefined;
    // Should this fail, the lease ends by itself.
    void this.context.options.store.revokeLease(leaseId);
  }

  private send(message: SeedsMessage): void {
    this.context.directory.seeds.send(message);
  }
}
