/** Opens the links that this daemon should have. */

import type {LinkEvents, PeerAddress} from '@cassiaknot/peer-protocol';
import type {DesiredPeer} from './actor_messages.js';
import type {ControlContext} from './control_context.js';
import type {DialSchedule} from './dial_schedule.js';
import type {LinkTable} from './link_table.js';

/** Dials seeds and desired peers that have no link yet. */
export class PeerDialler {
  private desired: readonly DesiredPeer[] = [];
  /** Addresses that were last listed, to find the first peer. */
  private seedAddresses: readonly PeerAddress[] = [];

  constructor(
    private readonly context: ControlContext,
    private readonly links: LinkTable,
    private readonly dials: DialSchedule,
    private readonly newEvents: (address: PeerAddress) => LinkEvents,
  ) {}

  getDesired(): readonly DesiredPeer[] {
    return this.desired;
  }

  /** Replaces the peers that should be linked, and dials the missing ones. */
  setDesired(desired: readonly DesiredPeer[]): void {
    this.desired = desired;
    this.dialDesired();
  }

  /** Dials listed or departed members. */
  dialSeeds(addresses: readonly PeerAddress[]): void {
    this.seedAddresses = addresses;
    for (const address of addresses) {
      if (!this.links.hasLinkAt(address)) this.dial(address);
    }
  }

  dialDesired(): void {
    for (const peer of this.desired) {
      if (!this.links.hasLinkTo(peer.instanceId)) this.dial(peer.address);
    }
  }

  /** Dials what is missing again; the seeds only while there is no link. */
  redial(): void {
    if (this.links.countPeers() === 0) this.dialSeeds(this.seedAddresses);
    this.dialDesired();
  }

  private dial(address: PeerAddress): void {
    const {identity, transport} = this.context.options;
    if (address === identity.peerAddress) return;
    if (!this.dials.tryStart(address)) return;
    transport.dial(address, this.newEvents(address));
  }
}
