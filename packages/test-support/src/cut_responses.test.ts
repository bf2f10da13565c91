import {setImmediate} from 'node:timers/promises';
import type {InstanceId, ServiceId} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import type {GateAddress} from '@cassiaknot/peer-protocol';
import {
  Deadline,
  HttpGateClient,
  MAX_BUFFERED_RESPONSE_BYTES,
  HttpTargetClient as ProxyTargetClient,
} from '@cassiaknot/proxy';
import {expect} from 'chai';
import fc from 'fast-check';
import {cutResponses} from './targets/cut_responses.js';
import {RawTarget} from './targets/raw_target.js';
import type {Caller, Method, NewCaller} from './targets/target_callers.js';
import {
  newFreshRelayCaller,
  newProxyCaller,
  newRelayCaller,
} from './targets/target_callers.js';

const SEED = 20261205;
const RUN_COUNT = 1_500;
const TIMEOUT_MS = 5_000;
const EMPTY_BODY = Buffer.alloc(0);
const UNFRAMED_HEAD = 'HTTP/1.1 200 OK\r\nRequest-Id: r\r\n\r\n';
/** Longer than what is buffered before a response is passed on. */
const LONG_BODY = 'x'.repeat(4 * MAX_BUFFERED_RESPONSE_BYTES);

function newGateCaller(address: string): Pick<Caller, 'send' | 'close'> {
  const client = new HttpGateClient();
  return {
    async send(method: Method) {
      const deadline = new Deadline(TIMEOUT_MS);
      const {outcome} = await client.call({
        instanceId: brandId<InstanceId>('i'),
        address: brandId<GateAddress>(address),
        serviceId: brandId<ServiceId>('s'),
        method,
        path: '/',
        headers: ['Host', 'h'],
        body: EMPTY_BODY,
        depth: 1,
        isRetry: false,
        isSuspect: false,
        deadline,
      });
      deadline.dispose();
      return outcome.kind;
    },
    close: () => client.close(),
  };
}

interface Hop {
  readonly newCaller: (
    ...args: Parameters<NewCaller>
  ) => Pick<Caller, 'send' | 'close'>;
  /** Header fields of the responses on this hop. */
  readonly fields: readonly string[];
  /** Outcome of a request whose response was cut. */
  readonly expected: string;
  readonly keepsConnections: boolean;
}

const FIELDS = ['Request-Id: r'];
const ANSWERED_FIELDS = ['cassiaknot-outcome: answered'];
const NOT_RUN_FIELDS = [
  'cassiaknot-outcome: not-run',
  'cassiaknot-reason: draining',
];

const HOPS: Readonly<Record<string, Hop>> = {
  'relay to a target': {
    newCaller: newRelayCaller,
    fields: FIELDS,
    expected: 'lost',
    keepsConnections: true,
  },
  'relay to a target on a fresh connection': {
    newCaller: newFreshRelayCaller,
    fields: FIELDS,
    expected: 'lost',
    keepsConnections: false,
  },
  'proxy to a target': {
    newCaller: newProxyCaller,
    fields: FIELDS,
    expected: 'unknown',
    keepsConnections: true,
  },
  'entry to a gate that answers': {
    newCaller: newGateCaller,
    fields: ANSWERED_FIELDS,
    expected: 'unknown',
    keepsConnections: true,
  },
  'entry to a gate that refuses': {
    newCaller: newGateCaller,
    fields: NOT_RUN_FIELDS,
    expected: 'unknown',
    keepsConnections: true,
  },
};

describe('Cut responses', () => {
  let target: RawTarget;

  beforeEach(async () => {
    target = new RawTarget();
    await target.start();
  });

  afterEach(() => target.stop());

  for (const [name, hop] of Object.entries(HOPS)) {
    const {newCaller, fields, expected, keepsConnections} = hop;
    const wholeResponse = {
      bytes: ['HTTP/1.1 200 OK', ...fields, 'Content-Length: 2', '', 'ok'].join(
        '\r\n',
      ),
      end: 'open',
    } as const;

    // A caller would get a short or empty body that looks complete.
    it(`takes no response that ends early as complete: ${name}`, async () => {
      await fc.assert(
        fc.asyncProperty(
          cutResponses(fields),
          fc.boolean(),
          async (cut, isKept) => {
            const caller = newCaller(target.getAddress());
            target.connectionCount = 0;
            target.script(wholeResponse, cut);
            if (isKept) {
              await caller.send('GET');
              // A pool reuses a connection from the next turn on.
              await setImmediate();
            } else target.script(cut);
            const kind = await caller.send(cut.method);
            await caller.close();
            if (keepsConnections) expect(target.connectionCount).to.equal(1);
            expect(kind).to.equal(expected);
          },
        ),
        {seed: SEED, numRuns: RUN_COUNT},
      );
    });
  }

  // The part of a long body that is streamed ended without an error at a reset.
  for (const [end, expected] of [
    ['fin', 'whole'],
    ['reset', 'cut'],
  ] as const) {
    it(`streams a long body without a length up to its end: ${end}`, async () => {
      target.script({bytes: `${UNFRAMED_HEAD}${LONG_BODY}`, end});
      const origin = `http://${target.getAddress()}`;
      const client = new ProxyTargetClient({origin, connections: 1});
      const deadline = new Deadline(TIMEOUT_MS);
      const outcome = await client.send({
        method: 'GET',
        path: '/',
        headers: ['Host', 'h'],
        body: EMPTY_BODY,
        refusalStatuses: [],
        deadline,
      });
      expect(outcome.kind).to.equal('answered');
      if (outcome.kind !== 'answered') return;
      const {body, remainingBody} = outcome.response;
      let size = body.byteLength;
      let result = 'whole';
      try {
        for await (const chunk of (remainingBody ??
          []) as AsyncIterable<Buffer>) {
          size += chunk.byteLength;
        }
      } catch {
        result = 'cut';
      }
      deadline.dispose();
      await client.close();
      expect(result).to.equal(expected);
      if (end === 'fin') expect(size).to.equal(LONG_BODY.length);
    });
  }
});
