import {expect} from 'chai';
import fc from 'fast-check';
import {endsWithConnection, findHeadFault, isFramed} from './response_head.js';

const SEED = 20261207;
const RUN_COUNT = 2_000;
const TOKEN_CHARACTERS =
  "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";

const MAX_BYTE = 255;
const TAB = 9;
const DEL = 127;
const FIRST_PRINTABLE = 32;

function isControl(byte: number): boolean {
  return (byte < FIRST_PRINTABLE && byte !== TAB) || byte === DEL;
}

const ALL_BYTES = Array.from({length: MAX_BYTE + 1}, (_, byte) => byte);
const NAME_BYTES = Array.from(TOKEN_CHARACTERS, text => text.charCodeAt(0));
const OTHER_BYTES = ALL_BYTES.filter(byte => !NAME_BYTES.includes(byte));
const VALUE_BYTES = ALL_BYTES.filter(byte => !isControl(byte));
const CONTROL_BYTES = ALL_BYTES.filter(isControl);

function bytes(values: readonly number[], minLength = 0) {
  return fc
    .array(fc.constantFrom(...values), {minLength, maxLength: 20})
    .map(list => Buffer.from(list));
}

// Starts with a character that no name with a meaning of its own starts with.
const NAME = bytes(NAME_BYTES).map(rest =>
  Buffer.concat([Buffer.from('~'), rest]),
);
const VALUE = bytes(VALUE_BYTES);
const HEAD = fc.record({
  statusCode: fc.integer({min: 100, max: 599}).filter(status => status !== 101),
  statusMessage: VALUE.map(text => text.toString('latin1')),
  fields: fc
    .array(fc.tuple(NAME, VALUE), {maxLength: 6})
    .map(fields => fields.flat()),
});

/** Inserts a byte at a position between 0 and the length. */
function insert(text: Uint8Array, position: number, byte: number): Buffer {
  const at = position % (text.byteLength + 1);
  return Buffer.concat([
    text.subarray(0, at),
    Buffer.from([byte]),
    text.subarray(at),
  ]);
}

const SETTINGS = {seed: SEED, numRuns: RUN_COUNT};

describe('Validation of a response head', () => {
  it('accepts each valid head, as bytes and as text', () => {
    fc.assert(
      fc.property(HEAD, head => {
        expect(findHeadFault(head)).to.equal(undefined);
        const fields = head.fields.map(field => field.toString('latin1'));
        expect(findHeadFault({...head, fields})).to.equal(undefined);
      }),
      SETTINGS,
    );
  });

  it('finds one invalid byte in any name', () => {
    fc.assert(
      fc.property(
        HEAD,
        NAME,
        fc.constantFrom(...OTHER_BYTES),
        fc.nat(),
        (head, name, byte, position) => {
          const invalidName = insert(name, position, byte);
          const fields = [...head.fields, invalidName, Buffer.from('v')];
          expect(findHeadFault({...head, fields})).to.match(/name/);
        },
      ),
      SETTINGS,
    );
  });

  it('finds one control byte in any value or reason', () => {
    fc.assert(
      fc.property(
        HEAD,
        VALUE,
        fc.constantFrom(...CONTROL_BYTES),
        fc.nat(),
        (head, value, byte, position) => {
          const invalidValue = insert(value, position, byte);
          const fields = [Buffer.from('x'), invalidValue, ...head.fields];
          expect(findHeadFault({...head, fields})).to.match(/value/);
          const statusMessage = invalidValue.toString('latin1');
          expect(findHeadFault({...head, statusMessage})).to.match(/reason/);
        },
      ),
      SETTINGS,
    );
  });

  it('finds each status that is out of range', () => {
    const status = fc.oneof(
      fc.integer({max: 99}),
      fc.integer({min: 600}),
      fc.double({min: 100, max: 599, noInteger: true}),
      fc.constantFrom(NaN, Infinity, 101),
    );
    fc.assert(
      fc.property(HEAD, status, (head, statusCode) => {
        expect(findHeadFault({...head, statusCode})).to.be.a('string');
      }),
      SETTINGS,
    );
  });

  it('finds an empty name, a missing value and an unknown coding', () => {
    const ok = {statusCode: 200, statusMessage: 'OK'};
    const find = (...fields: readonly string[]) =>
      findHeadFault({...ok, fields});
    expect(find('', 'v')).to.be.a('string');
    expect(find('x')).to.be.a('string');
    expect(find('Transfer-Encoding', 'gzip, chunked')).to.be.a('string');
    expect(find('Transfer-Encoding', 'Chunked ')).to.equal(undefined);
  });

  it('knows which responses last until their connection ends', () => {
    expect(endsWithConnection('GET', 200, {})).to.equal(true);
    expect(endsWithConnection('HEAD', 200, {})).to.equal(false);
    expect(endsWithConnection('GET', 204, {})).to.equal(false);
    expect(endsWithConnection('GET', 304, {})).to.equal(false);
    expect(isFramed({'content-length': '0'})).to.equal(true);
    expect(isFramed({'transfer-encoding': 'chunked'})).to.equal(true);
    expect(isFramed({'content-type': 'x'})).to.equal(false);
  });
});
