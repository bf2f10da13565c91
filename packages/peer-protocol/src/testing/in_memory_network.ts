/** Links within one process, which tests cut and heal. */

import type {PeerAddress} from '../addresses.js';
import {decodeMessage, encodeMessage} from '../codec.js';
import type {PeerMessage} from '../messages.js';
import type {
  LinkCloseReason,
  LinkEvents,
  PeerLink,
  PeerTransport,
} from '../transport.js';

/** Delay of each message and of each dial. */
const LATENCY_MS = 1;

/** Joins the transports of several daemons in one process. */
export class InMemoryNetwork {
  private readonly listeners = new Map<PeerAddress, LinkEvents>();
  private readonly pairs = new Set<LinkPair>();
  private readonly groups = new Map<PeerAddress, string>();
  private byteCount = 0;
  private lossPeriod = 0;
  private messageCount = 0;

  /** Makes the transport of the daemon at an address. */
  newTransport(address: PeerAddress): PeerTransport {
    return new InMemoryTransport(this, address);
  }

  /** Puts an address into a group; only members of one group can talk. */
  setGroup(address: PeerAddress, group: string): void {
    this.groups.set(address, group);
    for (const pair of this.pairs) {
      if (!this.canTalk(pair.from, pair.to)) pair.cut();
    }
  }

  /** Ends a daemon without a word, as a crash does. */
  crash(address: PeerAddress): void {
    this.listeners.delete(address);
    for (const pair of [...this.pairs]) {
      if (pair.from === address || pair.to === address) pair.end('closed');
    }
  }

  /** Loses every n-th message of established links; 0 loses none. */
  setLossPeriod(lossPeriod: number): void {
    this.lossPeriod = lossPeriod;
  }

  /** Whether the next message is lost on the way. */
  isNextLost(): boolean {
    this.messageCount += 1;
    return this.lossPeriod > 0 && this.messageCount % this.lossPeriod === 0;
  }

  /** Bytes of all messages sent so far. */
  getByteCount(): number {
    return this.byteCount;
  }

  /** Counts the bytes of a message. */
  countBytes(bytes: number): void {
    this.byteCount += bytes;
  }

  /** Whether a message would arrive. */
  canTalk(from: PeerAddress, to: PeerAddress): boolean {
    return (this.groups.get(from) ?? '') === (this.groups.get(to) ?? '');
  }

  /** Starts to accept links at an address. */
  listen(address: PeerAddress, events: LinkEvents): void {
    this.listeners.set(address, events);
  }

  /** Opens a link; an address that can't be reached refuses later. */
  dial(from: PeerAddress, to: PeerAddress, events: LinkEvents): PeerLink {
    const pair = new LinkPair(this, from, to, events);
    this.pairs.add(pair);
    setTimeout(() => {
      const accepting = this.listeners.get(to);
      if (accepting && this.canTalk(from, to)) pair.open(accepting);
      else pair.end('refused');
    }, LATENCY_MS);
    return pair.dialledEnd;
  }

  /** Forgets an ended link. */
  forget(pair: LinkPair): void {
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
  readonly dialledEnd: PeerLink;
  private readonly acceptedEnd: PeerLink;
  private accepting: LinkEvents | undefined;
  private isEnded = false;
  private isCut = false;

  constructor(
    private readonly network: InMemoryNetwork,
    readonly from: PeerAddress,
    readonly to: PeerAddress,
    private readonly dialling: LinkEvents,
  ) {
    this.dialledEnd = {
      send: message =>
        this.deliver(message, decoded =>
          this.accepting?.onMessage(this.acceptedEnd, decoded),
        ),
      close: () => this.end('closed'),
    };
    this.acceptedEnd = {
      send: message =>
        this.deliver(message, decoded =>
          this.dialling.onMessage(this.dialledEnd, decoded),
        ),
      close: () => this.end('closed'),
    };
  }

  open(accepting: LinkEvents): void {
    if (this.isEnded) return;
    this.accepting = accepting;
    accepting.onOpen(this.acceptedEnd);
    this.dialling.onOpen(this.dialledEnd);
  }

  /** Loses all further messages without telling either end. */
  cut(): void {
    this.isCut = true;
  }

  end(reason: LinkCloseReason): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.network.forget(this);
    setTimeout(() => {
      this.dialling.onClose(this.dialledEnd, reason);
      this.accepting?.onClose(this.acceptedEnd, reason);
    }, LATENCY_MS);
  }

  private deliver(
    message: PeerMessage,
    receive: (decoded: PeerMessage) => void,
  ): void {
    const frame = encodeMessage(message);
    this.network.countBytes(frame.byteLength);
    const isLost = this.network.isNextLost();
    setTimeout(() => {
      if (this.isEnded || this.isCut || isLost) return;
      receive(decodeMessage(frame).unwrap());
    }, LATENCY_MS);
  }
}
