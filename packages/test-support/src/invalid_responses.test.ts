import {setImmediate} from 'node:timers/promises';
import type {HttpStoreOptions} from '@cassiaknot/store';
import {HttpStore} from '@cassiaknot/store';
import {expect} from 'chai';
import fc from 'fast-check';
import {RawTarget} from './targets/raw_target.js';
import type {NewCaller} from './targets/target_callers.js';
import {
  newFreshRelayCaller,
  newProxyCaller,
  newRelayCaller,
} from './targets/target_callers.js';

const OK = 'HTTP/1.1 200 OK';
const BODY = 'Content-Length: 2\r\n\r\nok';

function newResponse(statusLine: string, ...fields: readonly string[]): string {
  return [statusLine, ...fields, BODY].join('\r\n');
}

/** Bytes that are no response, each with the fault that it has. */
const INVALID: Readonly<Record<string, string>> = {
  'status 000': newResponse('HTTP/1.1 000 Zero'),
  'status 99': newResponse('HTTP/1.1 99 Low'),
  'status 099': newResponse('HTTP/1.1 099 Low'),
  'status 600': newResponse('HTTP/1.1 600 High'),
  'status 999': newResponse('HTTP/1.1 999 High'),
  'status 1000': newResponse('HTTP/1.1 1000 High'),
  'status with a letter': newResponse('HTTP/1.1 2x0 OK'),
  'status with a sign': newResponse('HTTP/1.1 -20 OK'),
  'no status': newResponse('HTTP/1.1 OK'),
  'interim status 050': `HTTP/1.1 050 Low\r\n\r\n${newResponse(OK)}`,
  'interim status 101': `HTTP/1.1 101 Other\r\n\r\n${newResponse(OK)}`,
  'NUL in the reason': newResponse('HTTP/1.1 200 O\0K'),
  'control byte in the reason': newResponse('HTTP/1.1 200 O\x1bK'),
  'name with a blank': newResponse(OK, 'X Y: 1'),
  'name with a blank in front': newResponse(OK, ' X: 1'),
  'blank before the colon': newResponse(OK, 'X : 1'),
  'blank before the colon of the length': `${OK}\r\nContent-Length : 2\r\n\r\nok`,
  'tab before the colon': newResponse(OK, 'X\t: 1'),
  'name with a tab': newResponse(OK, 'X\tY: 1'),
  'name with a control byte': newResponse(OK, 'X\x01Y: 1'),
  'name with NUL': newResponse(OK, 'X\0Y: 1'),
  'name with DEL': newResponse(OK, 'X\x7f: 1'),
  'empty name': newResponse(OK, ': 1'),
  'name outside of ASCII': newResponse(OK, 'X\xe9: 1'),
  'name with a parenthesis': newResponse(OK, 'X(Y): 1'),
  'line without a colon': newResponse(OK, 'XY'),
  'value with NUL': newResponse(OK, 'X: a\0b'),
  'value with CR': newResponse(OK, 'X: a\rb'),
  'value with DEL': newResponse(OK, 'X: a\x7fb'),
  'value with a control byte': newResponse(OK, 'X: a\x01b'),
  'value that is a control byte': newResponse(OK, 'X: \x01'),
  'value with a bare LF': newResponse(OK, 'X: a\nY: b'),
  'folded value': newResponse(OK, 'X: a\r\n b'),
  'folded value, tab': newResponse(OK, 'X: a\r\n\tb'),
  'folded last value': `${OK}\r\nContent-Length: 2\r\nX: a\r\n b\r\n\r\nok`,
  'folded length': `${OK}\r\nContent-Length:\r\n 2\r\n\r\nok`,
  'two lengths': `${OK}\r\nContent-Length: 2\r\n${BODY}`,
  'length and chunks': `${OK}\r\nTransfer-Encoding: chunked\r\n${BODY}`,
  'unknown transfer coding': `${OK}\r\nTransfer-Encoding: gzip\r\n\r\nok`,
  'chunks inside another coding': `${OK}\r\nTransfer-Encoding: chunked, gzip\r\n\r\nok`,
  'bad chunk size': `${OK}\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nok`,
  'control byte in a trailer': `${OK}\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: \x01\r\n\r\n`,
  'another protocol': 'SSH-2.0-OpenSSH\r\n',
};

const VALID: Readonly<Record<string, string>> = {
  'status 200': newResponse(OK),
  'status 299': newResponse('HTTP/1.1 299 Odd'),
  'status 450': newResponse('HTTP/1.1 450 Odd'),
  'status 599': newResponse('HTTP/1.1 599 Odd'),
  'no reason': newResponse('HTTP/1.1 200'),
  'reason outside of ASCII': newResponse('HTTP/1.1 200 d\xe9j\xe0'),
  'unusual name': newResponse(OK, "!#$%&'*+-.^_`|~09Az: 1"),
  'value with a tab': newResponse(OK, 'X: a\tb'),
  'value outside of ASCII': newResponse(OK, 'X: a\xe9\x80b'),
  'empty value': newResponse(OK, 'X:'),
  'interim response': `HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n${newResponse(OK)}`,
  'chunks in capitals': `${OK}\r\nTransfer-Encoding: CHUNKED\r\n\r\n2\r\nok\r\n0\r\n\r\n`,
};

const SEED = 20261207;
const RUN_COUNT = 200;
const TIMEOUT_MS = 30_000;
/** Bytes that are valid neither in a name nor in a value. */
const FORBIDDEN = ['\0', '\x01', '\x1f', '\x7f', '\r', '\n'] as const;

const CALLERS: Readonly<Record<string, NewCaller>> = {
  relay: newRelayCaller,
  'relay on a fresh connection': newFreshRelayCaller,
  proxy: newProxyCaller,
};

describe('Responses that are not valid', () => {
  let target: RawTarget;

  beforeEach(async () => {
    target = new RawTarget();
    await target.start();
  });

  afterEach(() => target.stop());

  for (const [name, newCaller] of Object.entries(CALLERS)) {
    for (const [fault, bytes] of Object.entries(INVALID)) {
      // A caller got them as answers, or the target counted as crashed.
      it(`are foreign: ${name}, ${fault}`, async () => {
        const end = bytes.startsWith('SSH') ? 'fin' : 'open';
        target.script({bytes, end}, {bytes: VALID['status 299'] ?? '', end});
        const caller = newCaller(target.getAddress());
        expect(await caller.describe('GET')).to.equal('lost answer-foreign');
        await setImmediate();
        // The connection carries nothing else.
        expect(await caller.describe('GET')).to.equal('answered 299');
        await caller.close();
        expect(target.connectionCount).to.equal(2);
      });
    }

    for (const [form, bytes] of Object.entries(VALID)) {
      it(`unlike valid ones: ${name}, ${form}`, async () => {
        target.script({bytes, end: 'open'});
        const caller = newCaller(target.getAddress());
        expect(await caller.describe('GET')).to.match(/^answered/);
        await caller.close();
      });
    }
  }
});

describe('Responses with a byte that is not valid', () => {
  const HEAD = 'HTTP/1.1 200 OK\r\nX-First: some value\r\nX-Second: more';
  const WHOLE = `${HEAD}\r\n${BODY}`;

  for (const [name, newCaller] of Object.entries(CALLERS)) {
    // The parser joins parts of a head that arrive apart.
    it(`are foreign wherever the head is split: ${name}`, async () => {
      const target = new RawTarget();
      await target.start();
      await fc.assert(
        fc.asyncProperty(
          fc.integer({min: 'HTTP/1.1 200 O'.length, max: HEAD.length - 1}),
          fc.constantFrom(...FORBIDDEN),
          fc.nat(WHOLE.length),
          async (position, byte, firstBytes) => {
            const head = HEAD.slice(0, position) + byte + HEAD.slice(position);
            const bytes = `${head}\r\n${BODY}`;
            target.script({bytes, end: 'fin', firstBytes});
            const caller = newCaller(target.getAddress());
            const outcome = await caller.describe('GET');
            await caller.close();
            expect(outcome, JSON.stringify(head)).to.match(/^lost/);
          },
        ),
        {seed: SEED, numRuns: RUN_COUNT},
      );
      target.stop();
    }).timeout(TIMEOUT_MS);
  }
});

describe('Responses of the store that are not valid', () => {
  let target: RawTarget;
  let store: HttpStore;

  beforeEach(async () => {
    target = new RawTarget();
    await target.start();
    const url = `http://${target.getAddress()}`;
    const options: HttpStoreOptions = {url, timeoutMs: 1_000};
    store = new HttpStore(options);
  });

  afterEach(async () => {
    await store.close();
    target.stop();
  });

  const RANGE = JSON.stringify({header: {revision: '9'}, kvs: [], count: '0'});
  for (const [fault, head] of [
    ['status 099', 'HTTP/1.1 099 Low'],
    ['NUL in the reason', 'HTTP/1.1 200 O\0K'],
    ['unknown transfer coding', `${OK}\r\nTransfer-Encoding: gzip`],
  ] as const) {
    it(`are failures: ${fault}`, async () => {
      const length = head.includes('gzip')
        ? ''
        : `Content-Length: ${RANGE.length}\r\n`;
      target.script({bytes: `${head}\r\n${length}\r\n${RANGE}`, end: 'fin'});
      const result = await store.get('k');
      expect(result.isErr()).to.equal(true);
    });
  }

  // The part that arrived can be a valid document.
  it('are failures: reset behind a document without a length', async () => {
    target.script({bytes: `${OK}\r\n\r\n${RANGE}`, end: 'reset'});
    expect((await store.get('k')).isErr()).to.equal(true);
  });
});
