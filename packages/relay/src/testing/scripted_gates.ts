/** Entries with scripted gates, for tests of the routing of requests. */

import type {PublishedConfiguration} from '@cassiaknot/coordination';
import {SeededRandom} from '@cassiaknot/coordination';
import type {
  DataCentreId,
  InstanceId,
  InventoryRecord,
  ServiceId,
} from '@cassiaknot/inventory';
import {
  RECORD_SCHEMA,
  brandId,
  compileRouteTable,
  compileWorkspaceIndex,
  newStateFromRecords,
} from '@cassiaknot/inventory';
import type {
  CallId,
  GateAddress,
  MemberRecord,
  PeerAddress,
  RelayFrame,
  RelayFrameOf,
  RelayLink,
  RelayLinkEvents,
} from '@cassiaknot/peer-protocol';
import {SlidingRetryBudget} from '@cassiaknot/routing';
import {RelayEntry} from '../entry.js';
import type {CallerRequest} from '../entry_types.js';
import {GateDirectory} from '../gate_directory.js';
import type {LogFields, RelayObserver} from '../observer.js';
import type {RelayOutcome} from '../outcome.js';

export const GATE_COUNT = 4;
const DATA_CENTRE = brandId<DataCentreId>('local');
export const SERVICE = brandId<ServiceId>('s');

/** A link that drops what is sent over it. */
export const IDLE_LINK: RelayLink = {
  send: () => true,
  close: () => undefined,
  abort: () => undefined,
};

/** Creates an answer to a call that the link may not know. */
export function newAnswer(isTargetLeaving: boolean): RelayFrameOf<'answer'> {
  return {
    kind: 'answer',
    callId: brandId<CallId>('1'),
    statusCode: 200,
    headers: [],
    body: new Uint8Array(),
    isFramed: true,
    waitMs: 0,
    runMs: 10,
    isTargetLeaving,
  };
}

/** Records all log lines. */
export class RecordingObserver implements RelayObserver {
  readonly lines: Array<{event: string; fields: LogFields}> = [];

  log(
    _level: string,
    _component: string,
    event: string,
    fields: LogFields,
  ): void {
    this.lines.push({event, fields});
  }

  count(): void {
    // Does nothing: these tests check log lines, not counters.
  }

  measure(): void {
    // Does nothing: these tests check log lines, not latencies.
  }
}

/**
 * Replies of a scripted gate: `failure` is an answer with status 500, `busy` a refusal
 * as overloaded, `over-share` one of a workspace above its share and `shed` a refusal by
 * the target itself. `slow` is an answer after some time, and `stall` one over a link
 * that is silent until then.
 */
export type ReplyKind =
  | 'answer'
  | 'unframed'
  | 'failure'
  | 'busy'
  | 'over-share'
  | 'draining'
  | 'quarantined'
  | 'shed'
  | 'loss'
  | 'stall'
  | 'slow';

/** Gates that send the given replies to offers, in order. */
export class ScriptedGates {
  readonly offers: Array<{gate: string; offer: RelayFrameOf<'offer'>}> = [];

  /** Gates whose links are silent. */
  private readonly silentGates = new Set<GateAddress>();
  /** Pings received on all links, but for the one with which a link opens. */
  pingCount = 0;
  /** Whether a newer version of the configuration is known. */
  hasNewerVersion = false;
  /** Offers that were withdrawn. */
  readonly cancelledCalls: string[] = [];

  constructor(
    private readonly replies: readonly ReplyKind[],
    private readonly waitMs = 50,
    private readonly stallMs = 800,
  ) {}

  dial(address: GateAddress, events: RelayLinkEvents): RelayLink {
    let isOpen = false;
    const link: RelayLink = {
      send: frame => {
        if (frame.kind === 'ping' && isOpen) this.pingCount += 1;
        if (frame.kind === 'ping' && !this.silentGates.has(address)) {
          events.onFrame(link, {kind: 'pong', nonce: frame.nonce});
        }
        if (frame.kind === 'cancel') this.cancelledCalls.push(frame.callId);
        if (frame.kind === 'offer') this.answer(address, frame, link, events);
        return true;
      },
      close: () => undefined,
      abort: () => undefined,
    };
    queueMicrotask(() => {
      events.onOpen(link);
      isOpen = true;
      events.onFrame(link, {
        kind: 'target-state',
        serviceId: SERVICE,
        isAccepting: true,
        slots: 4,
        coldMs: 0,
      });
    });
    return link;
  }

  private answer(
    address: GateAddress,
    offer: RelayFrameOf<'offer'>,
    link: RelayLink,
    events: RelayLinkEvents,
  ): void {
    const kind = this.replies[this.offers.length];
    const reply = this.reply(address, offer);
    if (kind !== 'stall' && kind !== 'slow') {
      queueMicrotask(() => events.onFrame(link, reply));
      return;
    }
    if (kind === 'stall') this.silentGates.add(address);
    setTimeout(() => events.onFrame(link, reply), this.stallMs);
  }

  /** Returns the replies sent so far. */
  getSentReplies(): ReplyKind[] {
    return this.offers.map((_, index) => this.replies[index] ?? 'answer');
  }

  private reply(gate: string, offer: RelayFrameOf<'offer'>): RelayFrame {
    const kind = this.replies[this.offers.length] ?? 'answer';
    this.offers.push({gate, offer});
    const {callId} = offer;
    const load = {waitMs: this.waitMs, runMs: 10};
    const headers: string[] = [];
    const answer = {
      kind: 'answer',
      callId,
      headers,
      isFramed: true,
      ...load,
    } as const;
    const refusal = {kind: 'refusal', callId, ...load} as const;
    const body = new Uint8Array();
    switch (kind) {
      case 'unframed':
        return {...answer, body, statusCode: 200, isFramed: false};
      case 'answer':
      case 'stall':
      case 'slow':
        return {...answer, statusCode: 200, body};
      case 'failure':
        return {...answer, statusCode: 500, body};
      case 'busy':
        return {...refusal, reason: 'overloaded', hasArrived: false};
      case 'over-share':
        return {...refusal, reason: kind, hasArrived: false};
      case 'draining':
        return {...refusal, reason: 'draining', hasArrived: false};
      case 'quarantined':
        return {...refusal, reason: 'quarantined', hasArrived: false};
      case 'shed':
        return {...refusal, reason: 'target-refused', hasArrived: true};
      case 'loss':
        return {kind: 'loss', callId, reason: 'target-lost', ...load};
    }
  }
}

export function newEmptyConfiguration(): PublishedConfiguration {
  const state = newStateFromRecords(0, []);
  return {
    state,
    routes: compileRouteTable(state),
    workspaces: compileWorkspaceIndex(state),
  };
}

export function newConfiguration(
  isIdempotent: boolean,
): PublishedConfiguration {
  const records: InventoryRecord[] = [
    {kind: 'owner', id: 'o', contact: 'c'},
    {kind: 'data-centre', id: DATA_CENTRE, region: 'r'},
    {kind: 'service', id: SERVICE, ownerId: 'o', dataCentreIds: [DATA_CENTRE]},
    {
      kind: 'rule',
      id: 'r',
      serviceId: SERVICE,
      pathPrefix: '/',
      isIdempotent,
      maxAttempts: 2,
      timeoutMs: 1_000,
      latencyObjectiveMs: 400,
    },
  ].map(record => RECORD_SCHEMA.parse(record));
  const state = newStateFromRecords(1, records);
  return {
    state,
    routes: compileRouteTable(state),
    workspaces: compileWorkspaceIndex(state),
  };
}

export async function handle(
  gates: ScriptedGates,
  isIdempotent: boolean,
): Promise<RelayOutcome> {
  const entry = await newEntry(gates, isIdempotent);
  return entry.handle(newRequest());
}

export async function newEntry(
  gates: ScriptedGates,
  isIdempotent: boolean,
  allowance = 100,
  configuration = newConfiguration(isIdempotent),
  observer: RelayObserver = new RecordingObserver(),
): Promise<RelayEntry> {
  return (await newSweptEntry(gates, allowance, configuration, observer)).entry;
}

/** Creates an entry and returns it with the directory that a test sweeps. */
export async function newSweptEntry(
  gates: ScriptedGates,
  allowance: number,
  configuration: PublishedConfiguration,
  observer: RelayObserver = new RecordingObserver(),
): Promise<{entry: RelayEntry; directory: GateDirectory}> {
  const directory = new GateDirectory({
    self: brandId<InstanceId>('self'),
    dataCentreId: DATA_CENTRE,
    dial: (address, events) => gates.dial(address, events),
    openLocalLink: () => {
      throw new Error('The test has no local gate');
    },
    random: new SeededRandom(1),
    observer,
  });
  directory.setMembers(
    Array.from({length: GATE_COUNT}, (_, index): MemberRecord => {
      const name = `g${index}`;
      return {
        instanceId: brandId<InstanceId>(name),
        incarnation: 1,
        state: 'serving',
        dataCentreId: DATA_CENTRE,
        peerAddress: brandId<PeerAddress>(`${name}:1`),
        gateAddress: brandId<GateAddress>(`${name}:2`),
        heldVersion: 1,
      };
    }),
  );
  await Promise.resolve();
  const entry = new RelayEntry({
    getConfiguration: () => configuration,
    hasNewerVersion: () => gates.hasNewerVersion,
    mayRoute: () => true,
    workspaceRequestHeaders: new Set(['x-key', 'x-workspace']),
    directory,
    retryBudget: new SlidingRetryBudget({
      windowMs: 10_000,
      ratio: 0.2,
      allowance,
    }),
    getMemberCount: () => 1,
    getCallerServiceId: () => 'caller',
    observer,
    random: () => 0.5,
  });
  return {entry, directory};
}

export function newRequest(): CallerRequest {
  return {
    requestId: 'r1',
    method: 'POST',
    host: 'h',
    path: '/x',
    headers: [],
    body: new Uint8Array(),
    timeoutMs: 1_000,
    receivedAtMs: performance.now(),
    signal: new AbortController().signal,
    serveUntilMs: Infinity,
  };
}
