import {SeededRandom} from '@cassiaknot/coordination';
import type {DataCentreId, InstanceId, ServiceId} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import type {
  GateAddress,
  MemberRecord,
  PeerAddress,
  RelayLinkEvents,
} from '@cassiaknot/peer-protocol';
import type {Clock} from '@sinonjs/fake-timers';
import FakeTimers from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';
import {
  LINKS_PER_SERVICE,
  LINK_BURST,
  LINK_INTERVAL_MS,
  MAX_LINK_DEBT,
  MAX_LINK_WAIT_MS,
  MAX_PENDING_DIALS,
  MEMBERS_EXPECTED_MS,
  PENDING_DIAL_MS,
  START_PACE_MS,
} from './constants.js';
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
const SERVICE_A = brandId<ServiceId>('a');
const SERVICES = [SERVICE_A, brandId<ServiceId>('b')];
const SWEEP_MS = 50;
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

/** Service and data centre of each member of a large mesh, by its number. */
function newLargeMember(index: number): MemberRecord {
  const serviceId = SERVICES[index % SERVICES.length] ?? SERVICE_A;
  const dataCentreId = brandId<DataCentreId>(index % 3 === 0 ? 'd' : 'e');
  return {...newMember(index), serviceId, dataCentreId};
}

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
  private readonly opened = new Set<number>();
  readonly observer = new RecordingObserver();
  readonly directory = new GateDirectory({
    self: brandId<InstanceId>('self'),
    dataCentreId: 'd',
    dial: (address, events) => {
      this.links.set(toNumber(address), events);
      return IDLE_LINK;
    },
    openLocalLink: () => IDLE_LINK,
    random: new SeededRandom(1),
    observer: this.observer,
  });

  constructor(gateCount = GATE_COUNT) {
    this.addMembers(gateCount, newMember);
  }

  addMembers(count: number, newRecord: (index: number) => MemberRecord): void {
    this.directory.setMembers(
      Array.from({length: count}, (_, index) => newRecord(index)),
    );
  }

  /** Opens all links that were dialled since the last call; returns their gates. */
  openDialled(): number[] {
    const gates = [...this.links.keys()].filter(gate => !this.opened.has(gate));
    for (const gate of gates) {
      this.opened.add(gate);
      const serviceId = SERVICES[gate % SERVICES.length] ?? SERVICE_A;
      this.report(gate, {serviceId, isAccepting: true, startedAtMs: 1});
    }
    return gates;
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
  describe('with many gates', () => {
    let clock: Clock;

    beforeEach(() => {
      clock = FakeTimers.install({now: 1_800_000_000_000});
    });

    afterEach(() => {
      clock.uninstall();
    });

    // A process that started dialled all gates at once and read nothing else for a second.
    it('opens few links at once', () => {
      const test = new TestDirectory(0);
      clock.tick(START_PACE_MS);
      test.addMembers(MANY_GATES, newMember);
      expect(test.links.size).to.equal(MAX_PENDING_DIALS);
      const [first = 0] = test.links.keys();
      test.report(first, {
        serviceId: SERVICE_A,
        isAccepting: true,
        startedAtMs: 1,
      });
      expect(test.links.size).to.equal(MAX_PENDING_DIALS + 1);
      clock.tick(PENDING_DIAL_MS);
      test.directory.sweep();
      expect(test.links.size).to.equal(2 * MAX_PENDING_DIALS + 1);
    });

    function sweepFor(test: TestDirectory, durationMs: number): void {
      for (let leftMs = durationMs; leftMs > 0; leftMs -= SWEEP_MS) {
        clock.tick(SWEEP_MS);
        test.directory.sweep();
        test.openDialled();
      }
    }

    // All daemons of a mesh that start at once spent their first seconds on handshakes.
    it('paces the links that no caller needs after the start, then opens all', () => {
      const test = new TestDirectory(0);
      test.addMembers(MANY_GATES, newLargeMember);
      const first = test.openDialled();
      expect(first.length).to.equal(LINK_BURST);
      const remote = first.filter(gate => gate % 3 !== 0);
      expect(remote, 'links to other data centres').to.deep.equal([]);
      sweepFor(test, (LINK_BURST - 1) * LINK_INTERVAL_MS);
      expect(test.links.size).to.equal(LINK_BURST);
      sweepFor(test, LINK_INTERVAL_MS);
      expect(test.links.size).to.equal(2 * LINK_BURST);
      sweepFor(test, START_PACE_MS);
      expect(test.links.size).to.equal(MANY_GATES);
    });

    // A daemon that accepts the links of all peers should not dial as many meanwhile, but
    // must not be kept from dialling either.
    it('counts the links that peers open', () => {
      const test = new TestDirectory(0);
      test.addMembers(MANY_GATES, newLargeMember);
      test.openDialled();
      const events = test.directory.countAccepted({
        onOpen: () => undefined,
        onFrame: () => undefined,
        onClose: () => undefined,
      });
      for (let count = 0; count < MANY_GATES; count += 1) {
        events.onOpen(IDLE_LINK);
      }
      const owedCount = LINK_BURST + MAX_LINK_DEBT;
      sweepFor(test, (owedCount - 1) * LINK_INTERVAL_MS);
      expect(test.links.size).to.equal(LINK_BURST);
      sweepFor(test, LINK_INTERVAL_MS);
      expect(test.links.size).to.equal(2 * LINK_BURST);
    });

    // A request was refused because the link to its service had its turn later.
    it('opens the links that a request needs at once, and lets it wait', async () => {
      const test = new TestDirectory(0);
      const serviceId = brandId<ServiceId>('b');
      test.addMembers(MANY_GATES, index => ({
        ...newLargeMember(index),
        serviceId: index < MANY_GATES / 2 ? SERVICE_A : serviceId,
      }));
      const before = new Set(test.links.keys());
      clock.tick(PENDING_DIAL_MS);
      let hasLink = false;
      const wait = test.directory.whenAccepting(serviceId, 400);
      void wait?.then(() => (hasLink = true));
      const dialled = [...test.links.keys()]
        .filter(gate => !before.has(gate))
        .slice(0, LINKS_PER_SERVICE);
      expect(dialled.length).to.equal(LINKS_PER_SERVICE);
      for (const gate of dialled) {
        expect(gate).to.be.at.least(MANY_GATES / 2);
        expect(gate % 3, 'own data centre first').to.equal(0);
      }
      await clock.tickAsync(0);
      expect(hasLink).to.equal(false);
      const [gate = 0] = dialled;
      test.report(gate, {serviceId, isAccepting: true, startedAtMs: 1});
      await clock.tickAsync(0);
      expect(hasLink).to.equal(true);
      expect(test.directory.whenAccepting(serviceId, 400)).to.equal(undefined);
    });

    // The links that callers need must not be limited to those of the first choice.
    it('opens more links to a service that could not serve a request', () => {
      const test = new TestDirectory(0);
      test.addMembers(MANY_GATES, newLargeMember);
      test.openDialled();
      void test.directory.whenAccepting(SERVICE_A, 0);
      while (test.openDialled().length > 0);
      const openCount = test.findAccepting(SERVICE_A).length;
      expect(openCount).to.be.at.least(LINKS_PER_SERVICE);
      test.directory.openMore(SERVICE_A);
      test.openDialled();
      expect(test.findAccepting(SERVICE_A).length).to.be.above(openCount);
    });

    // Requests waited in vain for a service without any gate.
    it('lets no request wait for a link that can not be expected', async () => {
      const test = new TestDirectory(0);
      const unknown = brandId<ServiceId>('c');
      test.addMembers(MANY_GATES, newLargeMember);
      expect(test.directory.whenAccepting(unknown, 0)).to.equal(undefined);
      let isReleased = false;
      const wait = test.directory.whenAccepting(unknown, 10_000);
      void wait?.then(() => (isReleased = true));
      await clock.tickAsync(MAX_LINK_WAIT_MS);
      expect(isReleased).to.equal(true);
      await clock.tickAsync(MEMBERS_EXPECTED_MS);
      expect(test.directory.whenAccepting(unknown, 10_000)).to.equal(undefined);
    });

    // A line for each link took part of the processor time that a start has.
    it('logs the links opened after the start in a line a second', () => {
      const test = new TestDirectory(0);
      test.addMembers(MANY_GATES, newLargeMember);
      test.openDialled();
      sweepFor(test, 3_000);
      const {lines} = test.observer;
      expect(lines.map(({event}) => event)).to.deep.equal(
        Array.from({length: lines.length}, () => 'opened'),
      );
      expect(lines.length).to.be.within(2, 3);
      const [gate = 0] = test.links.keys();
      test.report(gate, {
        serviceId: SERVICE_A,
        isAccepting: false,
        startedAtMs: 1,
      });
      expect(lines.at(-1)?.event).to.equal('target-state');
    });

    // Every gate has failed once: callers are refused at once, as they can retry elsewhere.
    it('lets no request wait for gates that could not be reached', () => {
      const test = new TestDirectory();
      clock.tick(MEMBERS_EXPECTED_MS);
      expect(test.directory.whenAccepting(SERVICE_A, 400)).not.to.equal(
        undefined,
      );
      for (const events of test.links.values()) events.onClose(IDLE_LINK);
      expect(test.directory.whenAccepting(SERVICE_A, 400)).to.equal(undefined);
    });
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
