/** Keeps a link to the gate of each member and finds the gates of a service. */

import type {RandomSource} from '@cassiaknot/coordination';
import {Backoff} from '@cassiaknot/coordination';
import type {InstanceId, ServiceId} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import type {
  GateAddress,
  MemberRecord,
  RelayFrameOf,
  RelayLink,
  RelayLinkEvents,
} from '@cassiaknot/peer-protocol';
import {
  MAX_LINK_WAIT_MS,
  MAX_PENDING_DIALS,
  MAX_REDIAL_DELAY_MS,
  MEMBERS_EXPECTED_MS,
  MEMBER_RETENTION_MS,
  MIN_REDIAL_DELAY_MS,
  PENDING_DIAL_MS,
} from './constants.js';
import type {DialCandidate} from './dial_plan.js';
import {LinkPace, chooseDials, shuffle} from './dial_plan.js';
import {GateLink} from './gate_link.js';
import {LinkDemand} from './link_demand.js';
import {LinkLog} from './link_log.js';
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
interface KnownGate extends DialCandidate {
  readonly instanceId: InstanceId;
  readonly link: GateLink;
  readonly backoff: Backoff;
  address: GateAddress;
  serviceId: ServiceId | undefined;
  /** Whether no attempt to open the link has ended yet. */
  isUntried: boolean;
  /** Whether the link is open or being opened. */
  isDialled: boolean;
  /** When the link was dialled, until its gate has reported its target. */
  openingSinceMs: number | undefined;
  nextDialAtMs: number;
  lastSeenAtMs: number;
}

/** Gates of all known members. */
export class GateDirectory {
  private readonly gates = new Map<InstanceId, KnownGate>();
  /** Open links whose target accepts requests, by its service. */
  private readonly acceptingLinks = new Map<ServiceId, Set<GateLink>>();

  private readonly sendClock = new SendClock();
  private readonly demand = new LinkDemand();
  private readonly startedAtMs = performance.now();
  private readonly pace = new LinkPace(this.startedAtMs);
  private readonly log: LinkLog;

  constructor(private readonly options: GateDirectoryOptions) {
    this.log = new LinkLog(options.observer, this.startedAtMs);
  }

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
      gate.serviceId = member.serviceId;
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
    this.releaseHopeless();
    this.log.logSummary(nowMs, this.gates.size);
  }

  /** Returns the gates whose target runs a service and accepts requests. */
  findAccepting(serviceId: ServiceId): GateLink[] {
    return [...(this.acceptingLinks.get(serviceId) ?? [])];
  }

  /**
   * Waits until a gate accepts requests for a service; undefined if a link to one is
   * open or none can be expected in this time.
   */
  whenAccepting(
    serviceId: ServiceId,
    maxWaitMs: number,
  ): Promise<void> | undefined {
    if (this.demand.recordRequest(serviceId)) this.dialDue();
    const waitMs = Math.min(maxWaitMs, MAX_LINK_WAIT_MS);
    if (waitMs <= 0 || this.acceptingLinks.has(serviceId)) return undefined;
    if (!this.mayFindGate(serviceId)) return undefined;
    return this.demand.wait(serviceId, waitMs);
  }

  /** Opens further links to gates of a service, as the open ones did not suffice. */
  openMore(serviceId: ServiceId): void {
    const openCount = this.acceptingLinks.get(serviceId)?.size ?? 0;
    this.demand.recordShortage(serviceId, openCount);
    this.dialDue();
  }

  /** Wraps the events of links that peers open; the own dials are paced by them. */
  countAccepted(events: RelayLinkEvents): RelayLinkEvents {
    const onOpen = (link: RelayLink) => {
      this.pace.recordLink(performance.now());
      events.onOpen(link);
    };
    return {...events, onOpen};
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
      instanceId,
      isSameDataCentre: link.isSameDataCentre,
      serviceId: member.serviceId,
      isUntried: true,
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
    const due: KnownGate[] = [];
    for (const gate of this.gates.values()) {
      const {isDialled, openingSinceMs = -Infinity, nextDialAtMs} = gate;
      if (nowMs - openingSinceMs < PENDING_DIAL_MS) pendingCount += 1;
      if (!isDialled && nowMs >= nextDialAtMs) due.push(gate);
    }
    const room = MAX_PENDING_DIALS - pendingCount;
    if (due.length === 0 || room <= 0) return;
    const spareAllowance = this.pace.getAllowance(nowMs);
    const shortages = this.demand.getShortages(id =>
      this.countLinks(id, nowMs),
    );
    // Most sweeps after a start have nothing to dial yet.
    const needsOwnDataCentre = this.options.watcher !== undefined;
    const hasNeed =
      shortages.size > 0 ||
      (needsOwnDataCentre && due.some(gate => gate.isSameDataCentre));
    if (spareAllowance === 0 && !hasNeed) return;
    const chosen = chooseDials(shuffle(due, this.options.random), {
      room,
      spareAllowance,
      shortages,
      needsOwnDataCentre,
    });
    for (const gate of chosen) this.dial(gate.instanceId, gate);
  }

  /** Counts the links to gates of a service that are open or being opened. */
  private countLinks(serviceId: ServiceId, nowMs: number): number {
    let count = this.acceptingLinks.get(serviceId)?.size ?? 0;
    for (const gate of this.gates.values()) {
      const {openingSinceMs = -Infinity} = gate;
      if (nowMs - openingSinceMs >= PENDING_DIAL_MS) continue;
      if (gate.serviceId === serviceId) count += 1;
    }
    return count;
  }

  /** Whether a gate that has not been tried yet may serve a service. */
  private mayFindGate(serviceId: ServiceId): boolean {
    if (performance.now() - this.startedAtMs < MEMBERS_EXPECTED_MS) return true;
    for (const gate of this.gates.values()) {
      if (!gate.isUntried) continue;
      if (gate.serviceId === undefined || gate.serviceId === serviceId) {
        return true;
      }
    }
    return false;
  }

  private releaseHopeless(): void {
    for (const serviceId of this.demand.getAwaited()) {
      if (!this.mayFindGate(serviceId)) this.demand.release(serviceId);
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
    if (!isSelf) this.pace.recordLink(gate.openingSinceMs);
    gate.link.attach(
      isSelf ? openLocalLink(events) : dial(gate.address, events),
    );
  }

  private handleClose(instanceId: InstanceId): void {
    const gate = this.gates.get(instanceId);
    if (!gate) return;
    this.removeAccepting(gate.link);
    gate.isDialled = false;
    gate.isUntried = false;
    gate.openingSinceMs = undefined;
    gate.nextDialAtMs = performance.now() + gate.backoff.next();
    this.log.logLost(instanceId);
    this.options.watcher?.onClose(instanceId);
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
    gate.isUntried = false;
    this.removeAccepting(gate.link);
    if (state.isAccepting) {
      this.addAccepting(brandId<ServiceId>(state.serviceId), gate.link);
    }
    if (
      isOpening &&
      state.isAccepting &&
      this.pace.isActive(performance.now())
    ) {
      this.log.recordOpened();
    } else {
      this.log.logTargetState(instanceId, state);
    }
    if (!isOpening) return;
    this.options.watcher?.onOpen(instanceId);
    this.dialDue();
  }

  private addAccepting(serviceId: ServiceId, link: GateLink): void {
    const links = this.acceptingLinks.get(serviceId);
    if (links) links.add(link);
    else this.acceptingLinks.set(serviceId, new Set([link]));
    this.demand.release(serviceId);
  }

  private removeAccepting(link: GateLink): void {
    for (const [serviceId, links] of this.acceptingLinks) {
      if (links.delete(link) && links.size === 0) {
        this.acceptingLinks.delete(serviceId);
      }
    }
  }
}
