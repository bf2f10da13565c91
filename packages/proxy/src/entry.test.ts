import type {PublishedConfiguration} from '@cassiaknot/coordination';
import {
  RetryBudget,
  SeededRandom,
  newMembershipView,
} from '@cassiaknot/coordination';
import type {DataCentreId, InstanceId, ServiceId} from '@cassiaknot/inventory';
import {
  RECORD_SCHEMA,
  brandId,
  compileRouteTable,
  compileWorkspaceIndex,
  indexRecords,
  newState,
} from '@cassiaknot/inventory';
import type {GateAddress, PeerAddress} from '@cassiaknot/peer-protocol';
import {expect} from 'chai';
import fc from 'fast-check';
import {Registry} from 'prom-client';
import {Balancer} from './balancer.js';
import {MAX_ATTEMPTS, MAX_CALL_DEPTH} from './constants.js';
import {Deadline} from './deadline.js';
import type {EntryRequest} from './entry.js';
import {ProxyEntry} from './entry.js';
import type {GateCall, GateCallResult, GateClient} from './gate_client.js';
import {GateHealth} from './gate_health.js';
import {ProxyMeter} from './meter.js';
import type {ProxyOutcome} from './outcome.js';
import {NOT_RUN_REASONS, UNKNOWN_REASONS, notRun, unknown} from './outcome.js';

const SEED = 20261204;
const RUN_COUNT = 500;
const MEMBER_COUNT = 6;
const LOCAL = brandId<DataCentreId>('own');

const RECORDS = [
  {
    kind: 'service',
    id: 's',
    ownerId: 'o',
    dataCentreIds: ['own'],
  },
  {kind: 'rule', id: 'r', serviceId: 's', pathPrefix: '/s'},
].map(record => RECORD_SCHEMA.parse(record));
const STATE = newState(1, indexRecords(RECORDS));
const CONFIGURATION: PublishedConfiguration = {
  state: STATE,
  routes: compileRouteTable(STATE),
  workspaces: compileWorkspaceIndex(STATE),
};

const ANSWERED: ProxyOutcome = {
  kind: 'answered',
  response: {
    statusCode: 200,
    headers: {},
    body: Buffer.alloc(0),
    remainingBody: undefined,
  },
  targetTimeUs: 1,
};

/** Gates that return the given outcomes in order, then answer all calls. */
class FakeGates implements GateClient {
  readonly calls: GateCall[] = [];

  constructor(private readonly outcomes: readonly ProxyOutcome[]) {}

  call(call: GateCall): Promise<GateCallResult> {
    const outcome = this.outcomes[this.calls.length] ?? ANSWERED;
    this.calls.push(call);
    return Promise.resolve({outcome, load: 0});
  }
}

interface EntrySetup {
  readonly gates: FakeGates;
  readonly isReady?: boolean;
  readonly memberCount?: number;
  readonly retryTokens?: number;
}

function newEntry(setup: EntrySetup): ProxyEntry {
  const {gates, isReady = true, memberCount = MEMBER_COUNT} = setup;
  const members = Array.from({length: memberCount}, (_, index) => ({
    instanceId: brandId<InstanceId>(`i${index}`),
    incarnation: 1,
    state: 'serving' as const,
    dataCentreId: LOCAL,
    peerAddress: brandId<PeerAddress>('h:1'),
    gateAddress: brandId<GateAddress>('h:2'),
    heldVersion: 0,
    target: {
      serviceId: brandId<ServiceId>('s'),
      slots: 1,
      connections: 1,
    },
  }));
  const membership = newMembershipView(members, 0, LOCAL);
  const health = new GateHealth();
  return new ProxyEntry({
    controlPlane: {
      isReady: () => isReady,
      isVerifying: () => false,
      whenReady: () => Promise.resolve(),
      getConfiguration: () => CONFIGURATION,
      getMembership: () => membership,
    },
    balancer: new Balancer(LOCAL, health, new SeededRandom(1)),
    gates,
    health,
    retryBudget: new RetryBudget({
      retriesPerRequest: 0,
      maxTokens: setup.retryTokens ?? 100,
    }),
    meter: new ProxyMeter(new Registry()),
  });
}

function newRequest(
  method: string,
  overrides: Partial<EntryRequest> = {},
): EntryRequest {
  return {
    route: {method, path: '/s', host: ''},
    path: '/s',
    headers: [],
    body: Buffer.alloc(0),
    depth: 0,
    isRetry: false,
    startDeadline: () => {
      const deadline = new Deadline(60_000);
      deadline.dispose();
      return deadline;
    },
    ...overrides,
  };
}

const OUTCOMES: fc.Arbitrary<ProxyOutcome> = fc.oneof(
  fc.constant(ANSWERED),
  fc.constantFrom(...NOT_RUN_REASONS).map(notRun),
  fc.constantFrom(...UNKNOWN_REASONS).map(unknown),
);

describe('Proxy entry', () => {
  it('never retries a non-idempotent request that may have run', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(OUTCOMES, {maxLength: 6}),
        fc.constantFrom('GET', 'POST', 'PUT', 'PATCH'),
        fc.boolean(),
        async (outcomes, method, isRetry) => {
          const gates = new FakeGates(outcomes);
          const entry = newEntry({gates});
          const outcome = await entry.handle(newRequest(method, {isRetry}));
          const {calls} = gates;
          const seen = calls.map((_, index) => outcomes[index] ?? ANSWERED);
          const ids = new Set(calls.map(({instanceId}) => instanceId));
          expect(ids.size, 'a target was tried twice').to.equal(calls.length);
          expect(calls.length).to.be.at.most(isRetry ? 1 : MAX_ATTEMPTS);
          const last = seen.at(-1);
          const mayHaveRun = seen.findLast(({kind}) => kind === 'unknown');
          const isRefusal = last?.kind === 'not-run';
          const expected = isRefusal ? (mayHaveRun ?? last) : last;
          expect(outcome).to.equal(expected);
          for (const earlier of seen.slice(0, -1)) {
            expect(earlier.kind).not.to.equal('answered');
            if (method === 'GET' || method === 'PUT') continue;
            expect(earlier.kind, 'retried although it may have run').to.equal(
              'not-run',
            );
          }
          for (const [index, call] of calls.entries()) {
            expect(call.isRetry).to.equal(isRetry || index > 0);
          }
        },
      ),
      {seed: SEED, numRuns: RUN_COUNT},
    );
  });

  it('retries refused requests on other targets', async () => {
    const gates = new FakeGates([notRun('queue-full'), notRun('draining')]);
    const outcome = await newEntry({gates}).handle(newRequest('POST'));
    expect(outcome.kind).to.equal('answered');
    expect(gates.calls.length).to.equal(3);
  });

  it('marks a retry as suspect after a target was lost', async () => {
    const gates = new FakeGates([unknown('target-lost')]);
    await newEntry({gates}).handle(newRequest('GET'));
    const marks = gates.calls.map(({isSuspect}) => isSuspect);
    expect(marks).to.deep.equal([false, true]);
  });

  it('stops retrying when the retry budget is exhausted', async () => {
    const refusals = Array<ProxyOutcome>(MAX_ATTEMPTS).fill(
      notRun('queue-full'),
    );
    const gates = new FakeGates(refusals);
    const entry = newEntry({gates, retryTokens: 1});
    await entry.handle(newRequest('GET'));
    expect(gates.calls.length).to.equal(2);
  });

  it('refuses unroutable requests with a reason', async () => {
    const gates = new FakeGates([]);
    const reasons = [];
    const unroutable = {route: {method: 'GET', path: '/x', host: ''}};
    for (const [setup, overrides] of [
      [{gates, isReady: false}, {}],
      [{gates, memberCount: 0}, {}],
      [{gates}, unroutable],
      [{gates}, {depth: MAX_CALL_DEPTH}],
    ] as const) {
      const request = newRequest('GET', overrides);
      const outcome = await newEntry(setup).handle(request);
      reasons.push(outcome.kind === 'not-run' && outcome.reason);
    }
    expect(reasons).to.deep.equal([
      'not-ready',
      'no-target',
      'no-route',
      'too-deep',
    ]);
    expect(gates.calls.length).to.equal(0);
  });
});
