/** In-process link between an entry and its local gate. */

import type {
  RelayFrame,
  RelayLink,
  RelayLinkEvents,
} from '@cassiaknot/peer-protocol';

/** Opens an in-process link and returns its entry side. */
export function openLocalLink(
  entryEvents: RelayLinkEvents,
  gateEvents: RelayLinkEvents,
): RelayLink {
  const entryEnd = new LocalLinkEnd();
  const gateEnd = new LocalLinkEnd();
  entryEnd.connect(gateEnd, gateEvents);
  gateEnd.connect(entryEnd, entryEvents);
  queueMicrotask(() => {
    gateEvents.onOpen(gateEnd);
    entryEvents.onOpen(entryEnd);
  });
  return entryEnd;
}

class LocalLinkEnd implements RelayLink {
  private peer: RelayLink | undefined;
  private peerEvents: RelayLinkEvents | undefined;

  connect(peer: RelayLink, peerEvents: RelayLinkEvents): void {
    this.peer = peer;
    this.peerEvents = peerEvents;
  }

  send(frame: RelayFrame): boolean {
    const {peer, peerEvents} = this;
    if (!peer || !peerEvents) return false;
    queueMicrotask(() => peerEvents.onFrame(peer, frame));
    return true;
  }

  // Both sides stop with the process, so there is nothing to close.
  close(): void {
    return;
  }

  abort(): void {
    return;
  }
}
