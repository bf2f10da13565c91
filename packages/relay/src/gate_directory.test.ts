import {SeededRandom} from '@cassiaknot/coordination';
import type {DataCentreId, InstanceId, ServiceId} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import type {
  GateAddress,
  MemberRecord,
  PeerAddress,
  RelayLinkEvents,
} from '@cassiaknot/peer-protocol';
import FakeTimers from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';
import {MAX_PENDING_DIALS, PENDING_DIAL_MS} from './constants.js';
import {GateDirectory} from './gate_directory.js';
import {
  IDLE_LINK,
  RecordingObserver,
  newAnswer,
} from './testing/scripted_gates.js';

const SEED = 20261204;
const RUN_COUNT = 200;
const GATE_COUNT = 3;
const MANY_GATES = 80;
const SERVICES = ['a', 'b'].map(id => brandId<ServiceId>(id));
/** What a gate last reported, kept without an index. */
interface ReportedState {
  serviceId: ServiceId;
  isAccepting: boolean;
  startedAtMs: number;
}

const GATE = fc.nat(GATE_COUNT - 1);
const EVENT = fc.oneof(
  fc.record({
    kind: fc.constant('state' as const),
    gate: GATE,
    serviceId: fc.constantFrom(...SERVICES),
    isAccepting: fc.boolean(),
    startedAtMs: fc.integer({min: 1, max: 3}),
  }),
  fc.record({kind: fc.constant('leaving' as const), gate: GATE}),
  fc.record({kind: fc.constant('close' as const), gate: GATE}),
);

function newMember(index: number): MemberRecord {
  return {
    instanceId: brandId<InstanceId>(`g${index}`),
    incarnation: 1,
    state: 'serving',
    dataCentreId: brandId<DataCentreId>('d'),
    peerAddress: brandId<PeerAddress>(`g${index}:1`),
    gateAddress: brandId<GateAddress>(`g${index}:2`),
    heldVersion: 1,
  };
}

function toNumber(address: GateAddress): number {
  return Number.parseInt(address.slice(1), 10);
}

/** A directory with links to all gates, whose events the test delivers. */
class TestDirectory {
  /** Events of the latest link to each gate, by its number. */
  readonly links = new Map<number, RelayLinkEvents>();
  readonly directory = new GateDirectory({
    self: brandId<InstanceId>('self'),
    dataCentreId: 'd',
    dial: (address, events) => {
      this.links.set(toNumber(address), events);
      return IDLE_LINK;
    },
    openLocalLink: () => IDLE_LINK,
    random: new SeededRandom(1),
    observer: new RecordingObserver(),
  });

  constructor(gateCount = GATE_COUNT) {
    const members = Array.from({length: gateCount}, (_, index) =>
      newMember(index),
    );
    this.directory.setMembers(members);
  }

  report(gate: number, state: ReportedState): void {
    this.links.get(gate)?.onOpen(IDLE_LINK);
    this.links.get(gate)?.onFrame(IDLE_LINK, {
      ...state,
      kind: 'target-state',
      slots: 1,
      coldMs: 0,
      targetId: 't',
    });
  }

  answerLeaving(gate: number): void {
    this.links.get(gate)?.onFrame(IDLE_LINK, newAnswer(true));
  }

  findAccepting(serviceId: ServiceId): string[] {
    const links = this.directory.findAccepting(serviceId);
    return links.map(link => link.instanceId).sort();
  }
}

function listExpected(
  states: ReadonlyMap<number, ReportedState>,
  leavingStarts: ReadonlyMap<number, number>,
  serviceId: ServiceId,
): string[] {
  const expected: string[] = [];
  for (const [gate, state] of states) {
    if (state.serviceId !== serviceId || !state.isAccepting) continue;
    if (leavingStarts.get(gate) === state.startedAtMs) continue;
    expected.push(`g${gate}`);
  }
  return expected.sort();
}

describe('Gate directory', () => {
  // A process that started dialled all gates at once and read nothing else for a second.
  it('opens few links at once', () => {
    const clock = FakeTimers.install({now: 1_800_000_000_000});
    try {
      const test = new TestDirectory(MANY_GATES);
      expect(test.links.size).to.equal(MAX_PENDING_DIALS);
      const [first = 0] = test.links.keys();
      const [serviceId = brandId<ServiceId>('a')] = SERVICES;
      test.report(first, {serviceId, isAccepting: true, startedAtMs: 1});
      expect(test.links.size).to.equal(MAX_PENDING_DIALS + 1);
      clock.tick(PENDING_DIAL_MS);
      test.directory.sweep();
      expect(test.links.size).to.equal(2 * MAX_PENDING_DIALS + 1);
    } finally {
      clock.uninstall();
    }
  });

  it('finds the gates that accept requests for a service, after any events', () => {
    fc.assert(
      fc.property(fc.array(EVENT, {maxLength: 40}), events => {
        const test = new TestDirectory();
        const states = new Map<number, ReportedState>();
        const leavingStarts = new Map<number, number>();
        for (const event of events) {
          const {gate} = event;
          const state = states.get(gate);
          switch (event.kind) {
            case 'state':
              states.set(gate, event);
              test.report(gate, event);
              break;
            case 'leaving':
              if (state) leavingStarts.set(gate, state.startedAtMs);
              test.answerLeaving(gate);
              break;
            case 'close':
              states.delete(gate);
              test.links.get(gate)?.onClose(IDLE_LINK);
              test.directory.sweep();
              break;
          }
          for (const serviceId of SERVICES) {
            expect(test.findAccepting(serviceId)).to.deep.equal(
              listExpected(states, leavingStarts, serviceId),
            );
          }
        }
      }),
      {seed: SEED, numRuns: RUN_COUNT},
    );
  });
});
