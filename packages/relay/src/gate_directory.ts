/** Keeps a link to the gate of each member and knows which run a service. */

import type {RandomSource} from '@cassiaknot/coordination';
import {Backoff} from '@cassiaknot/coordination';
import type {InstanceId, ServiceId} from '@cassiaknot/inventory';
import type {
  GateAddress,
  MemberRecord,
  RelayFrameOf,
  RelayLink,
  RelayLinkEvents,
} from '@cassiaknot/peer-protocol';
import {FORGET_MEMBER_MS, MAX_REDIAL_MS, MIN_REDIAL_MS} from './constants.js';
import {GateLink} from './gate_link.js';
import type {RelayObserver} from './observer.js';

/** Collaborators of a {@link GateDirectory}. */
export interface GateDirectoryOptions {
  readonly self: InstanceId;
  readonly dataCentreId: string;
  readonly dial: (address: GateAddress, events: RelayLinkEvents) => RelayLink;
  /** Opens the link to the gate of this process. */
  readonly openOwn: (events: RelayLinkEvents) => RelayLink;
  readonly random: RandomSource;
  readonly observer: RelayObserver;
}

interface Entry {
  readonly link: GateLink;
  readonly backoff: Backoff;
  address: GateAddress;
  isConnected: boolean;
  nextDialMs: number;
  lastSeenMs: number;
}

const PART = 'link';

/** The gates that this entry can reach. */
export class GateDirectory {
  private readonly entries = new Map<InstanceId, Entry>();

  constructor(private readonly options: GateDirectoryOptions) {}

  /** Takes over the members known now. */
  setMembers(members: Iterable<MemberRecord>): void {
    const nowMs = performance.now();
    for (const member of members) {
      if (member.state === 'left') continue;
      const entry = this.entries.get(member.instanceId);
      if (!entry) {
        this.add(member, nowMs);
        continue;
      }
      if (member.state !== 'dead') entry.lastSeenMs = nowMs;
      this.move(entry, member.gateAddress);
    }
  }

  /** Dials what is due, pings what is silent and forgets what is gone. */
  sweep(): void {
    const nowMs = performance.now();
    for (const [instanceId, entry] of this.entries) {
      entry.link.sweep();
      if (entry.isConnected) continue;
      if (nowMs - entry.lastSeenMs > FORGET_MEMBER_MS) {
        this.entries.delete(instanceId);
        continue;
      }
      if (nowMs >= entry.nextDialMs) this.dial(instanceId, entry);
    }
  }

  /** Gates whose target runs a service and takes requests. */
  findAccepting(serviceId: ServiceId): GateLink[] {
    const found: GateLink[] = [];
    for (const {link} of this.entries.values()) {
      const target = link.getTarget();
      if (target?.isAccepting && target.serviceId === serviceId) {
        found.push(link);
      }
    }
    return found;
  }

  /** Number of gates with an open link. */
  countOpen(): number {
    let count = 0;
    for (const {link} of this.entries.values()) {
      if (link.getTarget()) count += 1;
    }
    return count;
  }

  /** Ends all links. */
  close(): void {
    for (const {link} of this.entries.values()) link.close();
  }

  private add(member: MemberRecord, nowMs: number): void {
    const {instanceId, dataCentreId, gateAddress} = member;
    const backoff = new Backoff(
      {minDelayMs: MIN_REDIAL_MS, maxDelayMs: MAX_REDIAL_MS},
      this.options.random,
    );
    const link = new GateLink(
      instanceId,
      dataCentreId === this.options.dataCentreId,
      () => this.handleClose(instanceId),
      state => this.reportTarget(instanceId, state),
    );
    const entry: Entry = {
      link,
      backoff,
      address: gateAddress,
      isConnected: false,
      nextDialMs: nowMs,
      lastSeenMs: nowMs,
    };
    this.entries.set(instanceId, entry);
    this.dial(instanceId, entry);
  }

  // A member that comes back at another address is dialled there at once.
  private move(entry: Entry, address: GateAddress): void {
    if (entry.address === address) return;
    entry.address = address;
    entry.nextDialMs = 0;
    entry.link.close();
  }

  private dial(instanceId: InstanceId, entry: Entry): void {
    const {self, dial, openOwn} = this.options;
    entry.isConnected = true;
    const events = entry.link.getEvents();
    const isOwn = instanceId === self;
    entry.link.attach(isOwn ? openOwn(events) : dial(entry.address, events));
  }

  private handleClose(instanceId: InstanceId): void {
    const entry = this.entries.get(instanceId);
    if (!entry) return;
    entry.isConnected = false;
    entry.nextDialMs = performance.now() + entry.backoff.next();
    this.options.observer.decide('info', PART, 'lost', {gate: instanceId});
  }

  private reportTarget(
    instanceId: InstanceId,
    state: RelayFrameOf<'target-state'>,
  ): void {
    this.entries.get(instanceId)?.backoff.reset();
    const {serviceId, isAccepting, slots, coldMs} = state;
    this.options.observer.decide('info', PART, 'target-state', {
      gate: instanceId,
      serviceId,
      isAccepting,
      slots,
      coldMs: Math.round(coldMs),
    });
  }
}
