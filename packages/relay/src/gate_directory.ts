/** Keeps a link to the gate of each member and finds the gates of a service. */

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
import {
  MAX_PENDING_DIALS,
  MAX_REDIAL_DELAY_MS,
  MEMBER_RETENTION_MS,
  MIN_REDIAL_DELAY_MS,
  PENDING_DIAL_MS,
} from './constants.js';
import {GateLink} from './gate_link.js';
import type {RelayObserver} from './observer.js';
import {SendClock} from './transit_delay.js';

/** Learns of gates and of their links. */
export interface GateWatcher {
  onKnown(link: GateLink, dataCentreId: string): void;
  onOpen(instanceId: InstanceId): void;
  onClose(instanceId: InstanceId): void;
  onForgotten(instanceId: InstanceId): void;
  onPermitGrant(grant: RelayFrameOf<'permit-grant'>): void;
}

/** Dependencies of a {@link GateDirectory}. */
export interface GateDirectoryOptions {
  readonly self: InstanceId;
  readonly dataCentreId: string;
  readonly dial: (address: GateAddress, events: RelayLinkEvents) => RelayLink;
  /** Opens the in-process link to the local gate. */
  readonly openLocalLink: (events: RelayLinkEvents) => RelayLink;
  readonly random: RandomSource;
  readonly observer: RelayObserver;
  readonly watcher?: GateWatcher;
}

/** A gate with its link and dial state. */
interface KnownGate {
  readonly link: GateLink;
  readonly backoff: Backoff;
  address: GateAddress;
  /** Whether the link is open or being opened. */
  isDialled: boolean;
  /** When the link was dialled, until its gate has reported its target. */
  openingSinceMs: number | undefined;
  nextDialAtMs: number;
  lastSeenAtMs: number;
}

const COMPONENT = 'link';

/** Gates of all known members. */
export class GateDirectory {
  private readonly gates = new Map<InstanceId, KnownGate>();
  /** Open links whose target accepts requests, by its service. */
  private readonly acceptingLinks = new Map<string, Set<GateLink>>();

  private readonly sendClock = new SendClock();

  constructor(private readonly options: GateDirectoryOptions) {}

  /** Applies the current member list. */
  setMembers(members: Iterable<MemberRecord>): void {
    const nowMs = performance.now();
    for (const member of members) {
      if (member.state === 'left') continue;
      const gate = this.gates.get(member.instanceId);
      if (!gate) {
        this.add(member, nowMs);
        continue;
      }
      if (member.state !== 'dead') gate.lastSeenAtMs = nowMs;
      this.updateAddress(gate, member.gateAddress);
    }
    this.dialDue();
  }

  /** Checks all links, redials closed ones and removes expired members. */
  sweep(): void {
    const nowMs = performance.now();
    for (const [instanceId, gate] of this.gates) {
      gate.link.sweep();
      if (gate.isDialled) continue;
      if (nowMs - gate.lastSeenAtMs > MEMBER_RETENTION_MS) {
        this.gates.delete(instanceId);
        this.options.watcher?.onForgotten(instanceId);
      }
    }
    this.dialDue();
  }

  /** Returns the gates whose target runs a service and accepts requests. */
  findAccepting(serviceId: ServiceId): GateLink[] {
    return [...(this.acceptingLinks.get(serviceId) ?? [])];
  }

  /** Returns the number of gates with an open link and a known target state. */
  countOpenLinks(): number {
    let count = 0;
    for (const {link} of this.gates.values()) {
      if (link.getTargetState()) count += 1;
    }
    return count;
  }

  /** Closes all links. */
  close(): void {
    for (const {link} of this.gates.values()) link.close();
  }

  private add(member: MemberRecord, nowMs: number): void {
    const {instanceId, dataCentreId, gateAddress} = member;
    const backoff = new Backoff(
      {minDelayMs: MIN_REDIAL_DELAY_MS, maxDelayMs: MAX_REDIAL_DELAY_MS},
      this.options.random,
    );
    const link = new GateLink(
      instanceId,
      dataCentreId === this.options.dataCentreId,
      () => this.handleClose(instanceId),
      state => this.handleTargetState(instanceId, state),
      this.sendClock,
      grant => this.options.watcher?.onPermitGrant(grant),
      dataCentreId,
    );
    const gate: KnownGate = {
      link,
      backoff,
      address: gateAddress,
      isDialled: false,
      openingSinceMs: undefined,
      nextDialAtMs: nowMs,
      lastSeenAtMs: nowMs,
    };
    this.gates.set(instanceId, gate);
    this.options.watcher?.onKnown(link, dataCentreId);
    if (instanceId === this.options.self) this.dial(instanceId, gate);
  }

  // Dials in random order: daemons that start together would otherwise all dial the same
  // gates first.
  private dialDue(): void {
    const nowMs = performance.now();
    let pendingCount = 0;
    const due: Array<readonly [InstanceId, KnownGate]> = [];
    for (const [instanceId, gate] of this.gates) {
      const {isDialled, openingSinceMs = -Infinity, nextDialAtMs} = gate;
      if (nowMs - openingSinceMs < PENDING_DIAL_MS) pendingCount += 1;
      if (!isDialled && nowMs >= nextDialAtMs) due.push([instanceId, gate]);
    }
    while (due.length > 0 && pendingCount < MAX_PENDING_DIALS) {
      const index = Math.floor(this.options.random.next() * due.length);
      for (const [instanceId, gate] of due.splice(index, 1)) {
        this.dial(instanceId, gate);
      }
      pendingCount += 1;
    }
  }

  // Closes the link to the old address, so that the new one is dialled.
  private updateAddress(gate: KnownGate, address: GateAddress): void {
    if (gate.address === address) return;
    gate.address = address;
    gate.nextDialAtMs = 0;
    gate.link.close();
  }

  private dial(instanceId: InstanceId, gate: KnownGate): void {
    const {self, dial, openLocalLink} = this.options;
    gate.isDialled = true;
    gate.openingSinceMs = performance.now();
    const events = gate.link.getEvents();
    const isSelf = instanceId === self;
    gate.link.attach(
      isSelf ? openLocalLink(events) : dial(gate.address, events),
    );
  }

  private handleClose(instanceId: InstanceId): void {
    const gate = this.gates.get(instanceId);
    if (!gate) return;
    this.removeAccepting(gate.link);
    gate.isDialled = false;
    gate.openingSinceMs = undefined;
    gate.nextDialAtMs = performance.now() + gate.backoff.next();
    this.options.watcher?.onClose(instanceId);
    this.options.observer.log('info', COMPONENT, 'lost', {gate: instanceId});
  }

  private handleTargetState(
    instanceId: InstanceId,
    state: RelayFrameOf<'target-state'>,
  ): void {
    const gate = this.gates.get(instanceId);
    if (!gate) return;
    gate.backoff.reset();
    const isOpening = gate.openingSinceMs !== undefined;
    gate.openingSinceMs = undefined;
    this.removeAccepting(gate.link);
    if (state.isAccepting) this.addAccepting(state.serviceId, gate.link);
    const {serviceId, isAccepting, slots, coldMs} = state;
    this.options.observer.log('info', COMPONENT, 'target-state', {
      gate: instanceId,
      serviceId,
      isAccepting,
      slots,
      coldMs: Math.round(coldMs),
    });
    if (!isOpening) return;
    this.options.watcher?.onOpen(instanceId);
    this.dialDue();
  }

  private addAccepting(serviceId: string, link: GateLink): void {
    const links = this.acceptingLinks.get(serviceId);
    if (links) links.add(link);
    else this.acceptingLinks.set(serviceId, new Set([link]));
  }

  private removeAccepting(link: GateLink): void {
    for (const [serviceId, links] of this.acceptingLinks) {
      if (links.delete(link) && links.size === 0) {
        this.acceptingLinks.delete(serviceId);
      }
    }
  }
}
