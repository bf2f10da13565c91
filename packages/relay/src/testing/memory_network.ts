/** Links between entries and gates in memory, with delay, loss and cuts. */

import type {InstanceId} from '@cassiaknot/inventory';
import type {
  RelayFrame,
  RelayLink,
  RelayLinkEvents,
} from '@cassiaknot/peer-protocol';

/** Conditions under which frames travel; read for each frame. */
export interface NetworkConditions {
  /** Delay of a frame in milliseconds; undefined if the frame is lost. */
  getDelayMs(from: InstanceId, to: InstanceId): number | undefined;
  isCut(from: InstanceId, to: InstanceId): boolean;
}

/** A link between two instances. */
interface OpenLink {
  readonly from: InstanceId;
  readonly to: InstanceId;
  close(): void;
}

const DIAL_TIMEOUT_MS = 100;

/** Opens links between the instances of a test. */
export class MemoryNetwork {
  private readonly gates = new Map<InstanceId, RelayLinkEvents>();
  private readonly links = new Set<OpenLink>();
  /** Frames sent, by kind. */
  readonly frameCounts = new Map<string, number>();
  /** Called for each frame that is sent. */
  onFrame: (frame: RelayFrame) => void = () => undefined;

  constructor(private readonly conditions: NetworkConditions) {}

  listen(instanceId: InstanceId, events: RelayLinkEvents): void {
    this.gates.set(instanceId, events);
  }

  /** Closes the gate of an instance and all its links. */
  stop(instanceId: InstanceId): void {
    this.gates.delete(instanceId);
    this.closeLinks(({from, to}) => from === instanceId || to === instanceId);
  }

  /** Closes the links that are cut, as their ends do when they notice. */
  closeCutLinks(): void {
    this.closeLinks(({from, to}) => this.conditions.isCut(from, to));
  }

  dial(from: InstanceId, to: InstanceId, events: RelayLinkEvents): RelayLink {
    const gateEvents = this.gates.get(to);
    const entryEnd = new MemoryLinkEnd();
    const gateEnd = new MemoryLinkEnd();
    let isOpen = false;
    let isClosed = false;
    const close = () => {
      if (isClosed) return;
      isClosed = true;
      this.links.delete(link);
      events.onClose(entryEnd);
      if (isOpen) gateEvents?.onClose(gateEnd);
    };
    const link: OpenLink = {from, to, close};
    const newSend =
      (source: InstanceId, target: InstanceId, deliver: FrameHandler) =>
      (frame: RelayFrame): boolean => {
        if (!isOpen || isClosed) return false;
        const count = this.frameCounts.get(frame.kind) ?? 0;
        this.frameCounts.set(frame.kind, count + 1);
        this.onFrame(frame);
        const delayMs = this.conditions.getDelayMs(source, target);
        if (delayMs === undefined || this.conditions.isCut(source, target)) {
          return true;
        }
        setTimeout(() => {
          if (!isClosed) deliver(frame);
        }, delayMs);
        return true;
      };
    entryEnd.handlers = {
      send: newSend(from, to, frame => gateEvents?.onFrame(gateEnd, frame)),
      close,
    };
    gateEnd.handlers = {
      send: newSend(to, from, frame => events.onFrame(entryEnd, frame)),
      close,
    };
    if (!gateEvents || this.conditions.isCut(from, to)) {
      setTimeout(close, DIAL_TIMEOUT_MS);
      return entryEnd;
    }
    this.links.add(link);
    setTimeout(() => {
      if (isClosed) return;
      isOpen = true;
      gateEvents.onOpen(gateEnd);
      events.onOpen(entryEnd);
    }, 1);
    return entryEnd;
  }

  private closeLinks(isClosed: (link: OpenLink) => boolean): void {
    for (const link of [...this.links]) {
      if (isClosed(link)) link.close();
    }
  }
}

type FrameHandler = (frame: RelayFrame) => void;

class MemoryLinkEnd implements RelayLink {
  handlers: {send: (frame: RelayFrame) => boolean; close: () => void} = {
    send: () => false,
    close: () => undefined,
  };

  send(frame: RelayFrame): boolean {
    return this.handlers.send(frame);
  }

  close(): void {
    this.handlers.close();
  }

  abort(): void {
    this.handlers.close();
  }
}
