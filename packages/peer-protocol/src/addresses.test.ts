import {expect} from 'chai';
import fc from 'fast-check';
import {GATE_ADDRESS_SCHEMA, PEER_ADDRESS_SCHEMA} from './addresses.js';

const SEED = 20261205;
const RUN_COUNT = 2_000;

/** Texts that look like addresses, with hosts and ports of all kinds. */
const ADDRESS_LIKE_TEXTS = fc
  .tuple(
    fc.oneof(
      fc.constantFrom('127.0.0.1', 'a', '[::1]', '[]', '1.2.3', '-', 'xn--'),
      fc.stringMatching(/^[019afzA.[\]:-]{0,12}$/),
    ),
    fc.oneof(fc.nat(99_999).map(String), fc.string({maxLength: 3})),
  )
  .map(([host, port]) => `${host}:${port}`);

describe('Addresses', () => {
  for (const address of ['127.0.0.1:80', 'a-1.example:65535', '[::1]:1']) {
    it(`accepts ${address}`, () => {
      expect(PEER_ADDRESS_SCHEMA.safeParse(address).success).to.equal(true);
      expect(GATE_ADDRESS_SCHEMA.safeParse(address).success).to.equal(true);
    });
  }

  // Such a value in a seed key ended all daemons that read it, again and again.
  for (const address of [
    '127.0.0.1:99999',
    '127.0.0.1:0',
    '[[]]:80',
    '[::zz]:8080',
    '999.0.0.1:80',
    '127.0.0.1',
    ':80',
  ]) {
    it(`rejects ${address}`, () => {
      expect(PEER_ADDRESS_SCHEMA.safeParse(address).success).to.equal(false);
      expect(GATE_ADDRESS_SCHEMA.safeParse(address).success).to.equal(false);
    });
  }

  it('accepts only hosts and ports that a WebSocket accepts', () => {
    fc.assert(
      fc.property(ADDRESS_LIKE_TEXTS, text => {
        const address = GATE_ADDRESS_SCHEMA.safeParse(text);
        if (!address.success) return;
        const {pathname, port} = new URL(`ws://${address.data}`);
        expect(pathname).to.equal('/');
        expect(Number(port || '80')).to.be.within(1, 65_535);
      }),
      {seed: SEED, numRuns: RUN_COUNT},
    );
  });
});
