/**
 * Discovers peers through the seed keys in the store, and registers this daemon
 * there while it has the seed role.
 */

import type {PeerAddress} from '@cassiaknot/peer-protocol';
import {PEER_ADDRESS_SCHEMA} from '@cassiaknot/peer-protocol';
import type {KeyValue, LeaseId} from '@cassiaknot/store';
import {Backoff} from '../backoff.js';
import {pickRandom, randomBetween} from '../random.js';
import type {SeedsMessage} from './actor_messages.js';
import type {MessageHandler} from './actor_support.js';
import type {ControlContext} from './control_context.js';

/** Prefix of the seed keys. */
export const SEED_PREFIX = 'cassiaknot/seed/';

const COMPONENT = 'seeds';
const MAX_LISTED_SEEDS = 500;
const LOCAL_SEEDS_DIALLED = 2;
const REMOTE_SEEDS_DIALLED = 1;
const MIN_RELIST_MS = 500;
const MAX_RELIST_MS = 10_000;
const MAX_LOGGED_KEYS = 5;
const RENEWALS_PER_TTL = 3;
/** Delay after a failed renewal: a seed must be listed again soon after an outage. */
const MIN_REREGISTER_MS = 500;
const MAX_REREGISTER_MS = 1_500;
/** Spreads the seeds that are written again after the store came back from a copy. */
const MAX_REWRITE_DELAY_MS = 1_000;

/** Lists and dials seeds, and renews the seed key of this daemon. */
export class SeedsActor implements MessageHandler<SeedsMessage> {
  private readonly backoff: Backoff;
  private isSeed = false;
  private isUplink = false;
  private isStopped = false;
  /** Whether the renewal cycle is active. */
  private isRenewing = false;
  /** Whether a call of the renewal cycle is pending. */
  private isCallPending = false;
  private renewalTimer: NodeJS.Timeout | undefined;
  /** Whether the seed must be written again after the pending call. */
  private isRewriteDue = false;
  private linkCount = 0;
  /** Whether the next list decides if this daemon registers itself. */
  private isElectingSeed = false;
  private leaseId: LeaseId | undefined;
  /** Whether the seed key was written with the current lease. */
  private hasKey = false;
  /** Seed keys whose address can't be used, as last logged. */
  private loggedUnusableKeys = '';

  constructor(private readonly context: ControlContext) {
    const options = {minDelayMs: MIN_RELIST_MS, maxDelayMs: MAX_RELIST_MS};
    this.backoff = new Backoff(options, context.options.random);
  }

  handle(message: SeedsMessage): void {
    switch (message.kind) {
      case 'set-roles':
        this.setRoles(message.isSeed, message.isUplink);
        return;
      case 'links':
        this.linkCount = message.count;
        return;
      case 'list':
        this.listSeeds();
        return;
      case 'listed':
        this.dialSeeds(message.addresses);
        return;
      case 'list-failed':
        this.reportListFailure(message.message);
        return;
      case 'renew':
        this.renew();
        return;
      case 'store-recovered':
        this.renewAfterOutage();
        return;
      case 'store-restored':
        this.renewAfterRestore();
        return;
      case 'renewed':
        this.scheduleRenewal(message.isRegistered);
        return;
      case 'stop':
        this.stop();
        return;
    }
  }

  private setRoles(isSeed: boolean, isUplink: boolean): void {
    this.isUplink = isUplink;
    const wasSeed = this.isSeed;
    this.isSeed = isSeed;
    if (isSeed && !wasSeed && !this.isRenewing) this.renew();
    if (!isSeed && wasSeed) this.revokeLease();
  }

  private listSeeds(): void {
    const {store} = this.context.options;
    // A stale list would not show the seeds that registered a moment ago.
    const options = {mayBeStale: !this.isElectingSeed};
    this.isElectingSeed = false;
    void store.list(SEED_PREFIX, MAX_LISTED_SEEDS, options).then(result => {
      if (result.isErr()) {
        this.send({kind: 'list-failed', message: result.error.message});
        return;
      }
      const addresses = this.chooseSeeds(result.value);
      this.send({kind: 'listed', addresses});
    });
  }

  // Logs a set of unusable keys once, however often it is listed.
  private logUnusableSeeds(seeds: readonly KeyValue[]): void {
    const keys = seeds
      .filter(({value}) => !PEER_ADDRESS_SCHEMA.safeParse(value).success)
      .map(({key}) => key);
    const logged = keys.slice(0, MAX_LOGGED_KEYS).join(', ');
    if (logged === this.loggedUnusableKeys) return;
    this.loggedUnusableKeys = logged;
    if (keys.length === 0) return;
    const {observer} = this.context.options;
    observer.count('seed-unusable');
    observer.log(
      'warn',
      COMPONENT,
      `Ignoring ${keys.length} seed keys without a usable address: ${logged}.`,
    );
  }

  private chooseSeeds(seeds: readonly KeyValue[]): PeerAddress[] {
    this.logUnusableSeeds(seeds);
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
    const skipped = this.getSkippedAddresses();
    const pool = new Set<PeerAddress>();
    for (const seed of seeds) {
      const address = PEER_ADDRESS_SCHEMA.safeParse(seed.value);
      if (address.success && !skipped.has(address.data)) pool.add(address.data);
    }
    const chosen: PeerAddress[] = [];
    while (chosen.length < count && pool.size > 0) {
      const address = pickRandom(this.context.options.random, [...pool]);
      if (address === undefined) break;
      pool.delete(address);
      chosen.push(address);
    }
    return chosen;
  }

  // Returns the addresses that are not dialled: the own one and, unless this
  // daemon has no link at all, those of known live members.
  private getSkippedAddresses(): ReadonlySet<PeerAddress> {
    const ownAddress = this.context.options.identity.peerAddress;
    const addresses = new Set<PeerAddress>([ownAddress]);
    if (this.linkCount === 0) return addresses;
    const {liveByDataCentre} = this.context.published.getMembership();
    for (const members of liveByDataCentre.values()) {
      for (const member of members) addresses.add(member.peerAddress);
    }
    return addresses;
  }

  private dialSeeds(addresses: readonly PeerAddress[]): void {
    const {links, membership} = this.context.directory;
    // With a link, seeds of known members are left out of the addresses.
    if (addresses.length === 0 && this.linkCount === 0) {
      if (this.waitForOtherSeeds()) return;
      membership.send({kind: 'enable-roles', isFirst: true});
    }
    links.send({kind: 'dial', addresses});
    this.scheduleList();
  }

  // When the whole mesh starts, every daemon finds no seed. The first ones to
  // list again register, and the others find them.
  private waitForOtherSeeds(): boolean {
    const {options, published} = this.context;
    const {random, timing} = options;
    const {seedElectionMs} = timing;
    if (published.hasFoundNoSeed() || seedElectionMs === 0) return false;
    published.publishNoSeedFound();
    this.isElectingSeed = true;
    setTimeout(
      () => this.send({kind: 'list'}),
      randomBetween(random, 0, seedElectionMs),
    );
    return true;
  }

  private reportListFailure(message: string): void {
    const {observer, overlay} = this.context.options;
    observer.log('warn', COMPONENT, `Can't list seeds: ${message}.`);
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
    // Daemons that are no uplinks list seeds less often: they only need to
    // find out whether they are isolated.
    const periodMs = timing.seedListIntervalMs * (this.isUplink ? 1 : 10);
    return randomBetween(random, periodMs * 0.5, periodMs * 1.5);
  }

  private renew(): void {
    if (!this.isSeed || this.isStopped) {
      this.isRenewing = false;
      return;
    }
    this.isRenewing = true;
    this.isCallPending = true;
    void this.renewSeedKey().then(isRegistered =>
      this.send({kind: 'renewed', isRegistered}),
    );
  }

  private renewAfterOutage(): void {
    if (!this.isSeed || this.isCallPending) return;
    clearTimeout(this.renewalTimer);
    this.renew();
  }

  // A pending call ends with its own renewal, and is repeated all the same: it may
  // have been answered before the copy came back.
  private renewAfterRestore(): void {
    if (!this.isSeed) return;
    this.isRewriteDue = true;
    if (!this.isCallPending) this.scheduleRewrite();
  }

  private scheduleRewrite(): void {
    this.isRewriteDue = false;
    clearTimeout(this.renewalTimer);
    this.renewalTimer = setTimeout(
      () => this.send({kind: 'renew'}),
      randomBetween(this.context.options.random, 0, MAX_REWRITE_DELAY_MS),
    );
  }

  private async renewSeedKey(): Promise<boolean> {
    const {identity, store, timing} = this.context.options;
    if (this.leaseId !== undefined) {
      const renewed = await store.keepLeaseAlive(this.leaseId);
      // Without a response, the lease may still exist.
      if (renewed.isErr()) return false;
      if (renewed.value && this.hasKey) return true;
      if (!renewed.value) this.leaseId = undefined;
    }
    if (this.leaseId === undefined) {
      this.hasKey = false;
      const lease = await store.grantLease(timing.seedTtlMs);
      if (lease.isErr()) return false;
      this.leaseId = lease.value;
    }
    const key = `${SEED_PREFIX}${identity.dataCentreId}/${identity.instanceId}`;
    const put = await store.put(key, identity.peerAddress, this.leaseId);
    this.hasKey = put.isOk();
    return this.hasKey;
  }

  private scheduleRenewal(isRegistered: boolean): void {
    this.isCallPending = false;
    if (this.isRewriteDue) {
      this.scheduleRewrite();
      return;
    }
    const {random, timing} = this.context.options;
    const delayMs = isRegistered
      ? timing.seedTtlMs / RENEWALS_PER_TTL
      : randomBetween(random, MIN_REREGISTER_MS, MAX_REREGISTER_MS);
    this.renewalTimer = setTimeout(() => this.send({kind: 'renew'}), delayMs);
  }

  private stop(): void {
    this.isStopped = true;
    this.revokeLease();
  }

  private revokeLease(): void {
    const {leaseId} = this;
    if (leaseId === undefined) return;
    this.leaseId = undefined;
    this.hasKey = false;
    // If the call fails, the lease expires on its own.
    void this.context.options.store.revokeLease(leaseId);
  }

  private send(message: SeedsMessage): void {
    this.context.directory.seeds.send(message);
  }
}
