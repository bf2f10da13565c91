import {expect} from 'chai';
import fc from 'fast-check';
import {BodyBuffer} from './body_buffer.js';

const SEED = 20261205;

describe('Body buffer', () => {
  it('returns the parts in order, whatever their sizes and buffers', () => {
    const parts = fc.array(
      fc.tuple(fc.uint8Array({maxLength: 3_000}), fc.nat(10_000)),
    );
    fc.assert(
      fc.property(parts, list => {
        const body = new BodyBuffer();
        for (const [bytes, spareBytes] of list) {
          const buffer = Buffer.alloc(bytes.byteLength + spareBytes);
          buffer.set(bytes);
          body.append(buffer.subarray(0, bytes.byteLength));
          // The connection reads the next part into the same buffer.
          if (spareBytes > bytes.byteLength) buffer.fill(0);
        }
        const expected = Buffer.concat(list.map(([bytes]) => bytes));
        expect(body.getSize()).to.equal(expected.byteLength);
        expect(expected.equals(body.take())).to.equal(true);
        expect(body.getSize()).to.equal(0);
      }),
      {seed: SEED},
    );
  });

  it('keeps no small part, whether it has a buffer of its own or not', () => {
    const body = new BodyBuffer();
    const parts = [Buffer.alloc(64 * 1024).subarray(0, 1), new Uint8Array(1)];
    for (const part of parts) {
      body.append(part);
      part.fill(1);
    }
    expect([...body.take()]).to.deep.equal([0, 0]);
  });
});
