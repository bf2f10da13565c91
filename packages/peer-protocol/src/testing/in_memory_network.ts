/** Simulated network within one process, with partitions and message loss. */

import type {PeerAddress} from '../addresses.js';
import {decodeMessage, encodeMessage} from '../codec.js';
import type {PeerMessage} from '../messages.js';
import type {
  LinkCloseReason,
  LinkEvents,
  PeerLink,
  PeerTransport,
} from '../transport.js';

/** One-way delay of each message, and the time that a dial takes. */
const LATENCY_MS = 1;

/** Connects the transports of several daemons in one process. */
export class InMemoryNetwork {
  private readonly listeners = new Map<PeerAddress, LinkEvents>();
  private readonly pairs = new Set<LinkPair>();
  private readonly partitions = new Map<PeerAddress, string>();
  private readonly readIntervalsMs = new Map<PeerAddress, number>();
  private byteCount = 0;
  private lossPeriod = 0;
  private messageCount = 0;

  /** Creates the transport of the daemon at an address. */
  newTransport(address: PeerAddress): PeerTransport {
    return new InMemoryTransport(this, address);
  }

  /**
   * Assigns an address to a partition; links open only within a partition. Open
   * links that then cross partitions drop all further messages for good.
   */
  setPartition(address: PeerAddress, partition: string): void {
    this.partitions.set(address, partition);
    for (const pair of this.pairs) {
      if (!this.isReachable(pair.from, pair.to)) pair.partition();
    }
  }

  /** Closes all links of a daemon without a leave message, as a crash does. */
  crash(address: PeerAddress): void {
    this.listeners.delete(address);
    for (const pair of [...this.pairs]) {
      if (pair.from === address || pair.to === address) pair.end('closed');
    }
  }

  /** Drops every n-th message on open links; 0 drops none. */
  setLossPeriod(lossPeriod: number): void {
    this.lossPeriod = lossPeriod;
  }

  /**
   * Makes a daemon read its messages only at multiples of an interval, as a late event
   * loop does. Its timers still run on time: in a late turn they run before the reads.
   */
  setReadInterval(address: PeerAddress, intervalMs: number): void {
    this.readIntervalsMs.set(address, intervalMs);
  }

  /** Time until a message sent now is read by a daemon. */
  getReadDelayMs(address: PeerAddress): number {
    const intervalMs = this.readIntervalsMs.get(address) ?? 0;
    if (intervalMs === 0) return LATENCY_MS;
    const arrivalMs = performance.now() + LATENCY_MS;
    return Math.ceil(arrivalMs / intervalMs) * intervalMs - performance.now();
  }

  /** Counts a message and returns whether it is to be dropped. */
  isNextLost(): boolean {
    this.messageCount += 1;
    return this.lossPeriod > 0 && this.messageCount % this.lossPeriod === 0;
  }

  /** Returns the total size of all messages sent so far. */
  getByteCount(): number {
    return this.byteCount;
  }

  /** Adds the size of a message to the total. */
  countBytes(bytes: number): void {
    this.byteCount += bytes;
  }

  /** Whether both addresses are in the same partition. */
  isReachable(from: PeerAddress, to: PeerAddress): boolean {
    return (
      (this.partitions.get(from) ?? '') === (this.partitions.get(to) ?? '')
    );
  }

  /** Starts accepting links at an address. */
  listen(address: PeerAddress, events: LinkEvents): void {
    this.listeners.set(address, events);
  }

  /** Opens a link; an unreachable address refuses it after the latency. */
  dial(from: PeerAddress, to: PeerAddress, events: LinkEvents): PeerLink {
    const pair = new LinkPair(this, from, to, events);
    this.pairs.add(pair);
    setTimeout(() => {
      const acceptor = this.listeners.get(to);
      if (acceptor && this.isReachable(from, to)) pair.open(acceptor);
      else pair.end('refused');
    }, LATENCY_MS);
    return pair.diallerLink;
  }

  /** Removes a closed link. */
  removePair(pair: LinkPair): void {
    this.pairs.delete(pair);
  }
}

class InMemoryTransport implements PeerTransport {
  constructor(
    private readonly network: InMemoryNetwork,
    private readonly address: PeerAddress,
  ) {}

  dial(address: PeerAddress, events: LinkEvents): PeerLink {
    return this.network.dial(this.address, address, events);
  }

  listen(address: PeerAddress, events: LinkEvents): Promise<void> {
    this.network.listen(address, events);
    return Promise.resolve();
  }

  close(): Promise<void> {
    this.network.crash(this.address);
    return Promise.resolve();
  }
}

/** Both ends of one link. */
class LinkPair {
  readonly diallerLink: PeerLink;
  private readonly acceptorLink: PeerLink;
  private acceptorEvents: LinkEvents | undefined;
  private isClosed = false;
  private isPartitioned = false;

  constructor(
    private readonly network: InMemoryNetwork,
    readonly from: PeerAddress,
    readonly to: PeerAddress,
    private readonly diallerEvents: LinkEvents,
  ) {
    this.diallerLink = {
      send: message =>
        this.deliver(message, this.to, decoded =>
          this.acceptorEvents?.onMessage(this.acceptorLink, decoded),
        ),
      close: () => this.end('closed'),
    };
    this.acceptorLink = {
      send: message =>
        this.deliver(message, this.from, decoded =>
          this.diallerEvents.onMessage(this.diallerLink, decoded),
        ),
      close: () => this.end('closed'),
    };
  }

  open(acceptorEvents: LinkEvents): void {
    if (this.isClosed) return;
    this.acceptorEvents = acceptorEvents;
    acceptorEvents.onOpen(this.acceptorLink);
    this.diallerEvents.onOpen(this.diallerLink);
  }

  /** Drops all further messages; neither end is notified. */
  partition(): void {
    this.isPartitioned = true;
  }

  end(reason: LinkCloseReason): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.network.removePair(this);
    setTimeout(() => {
      this.diallerEvents.onClose(this.diallerLink, reason);
      this.acceptorEvents?.onClose(this.acceptorLink, reason);
    }, LATENCY_MS);
  }

  private deliver(
    message: PeerMessage,
    receiver: PeerAddress,
    receive: (decoded: PeerMessage) => void,
  ): void {
    const frame = encodeMessage(message);
    this.network.countBytes(frame.byteLength);
    const isLost = this.network.isNextLost();
    setTimeout(() => {
      if (this.isClosed || this.isPartitioned || isLost) return;
      receive(decodeMessage(frame).unwrap());
    }, this.network.getReadDelayMs(receiver));
  }
}
