import {HttpStore} from '@cassiaknot/store';
import {expect} from 'chai';
import {FakeStoreServer} from './fake_store_server.js';
import type {RawResponse} from './targets/raw_target.js';
import {RawTarget} from './targets/raw_target.js';

const RANGE = JSON.stringify({header: {revision: '9'}, kvs: [], count: '0'});
const RESPONSE_HEADS = [
  `HTTP/1.1 200 OK\r\nContent-Length: ${RANGE.length}\r\n\r\n`,
  'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n',
];

describe('HttpStore', () => {
  let server: FakeStoreServer;
  let store: HttpStore;

  beforeEach(async () => {
    server = new FakeStoreServer();
    await server.start();
    store = new HttpStore({url: server.getUrl(), timeoutMs: 1_000});
  });

  afterEach(async () => {
    await store.close();
    await server.stop();
  });

  it('reads, writes, lists and deletes keys', async () => {
    expect((await store.get('a')).unwrap()).to.equal(undefined);
    await store.put('a/1', 'ü');
    await store.put('a/2', 'y');
    await store.put('b', 'z');
    const listed = (await store.list('a/', 10)).unwrap();
    expect(listed.map(({key, value}) => key + value)).to.deep.equal([
      'a/1ü',
      'a/2y',
    ]);
    await store.delete('a/1');
    expect((await store.get('a/1')).unwrap()).to.equal(undefined);
  });

  it('reads the revision of the store, which any write increases', async () => {
    const before = (await store.getStaleRevision()).unwrap();
    await store.put('a', 'x');
    expect((await store.getStaleRevision()).unwrap()).to.be.above(before);
  });

  it('compares and swaps only at the expected revision', async () => {
    const request = {key: 'k', value: 'x', expectedRevision: 0};
    const first = (await store.compareAndSwap(request)).unwrap();
    expect(first.kind).to.equal('committed');
    const second = (await store.compareAndSwap(request)).unwrap();
    expect(second.kind).to.equal('conflict');
    if (first.kind !== 'committed' || second.kind !== 'conflict') return;
    expect(second.current?.revision).to.equal(first.revision);
  });

  it('waits for the next write until the time-out', async () => {
    const request = {key: 'k', afterRevision: 0, timeoutMs: 5_000};
    const change = store.waitForChange(request);
    await store.put('k', 'new');
    expect((await change).unwrap()?.value).to.equal('new');
    const unchanged = {key: 'other', afterRevision: 0, timeoutMs: 20};
    expect((await store.waitForChange(unchanged)).unwrap()).to.equal(undefined);
  });

  it('renews leases, and deletes their keys when they are revoked', async () => {
    const leaseId = (await store.grantLease(60_000)).unwrap();
    await store.put('k', 'x', leaseId);
    expect((await store.keepLeaseAlive(leaseId)).unwrap()).to.equal(true);
    await store.revokeLease(leaseId);
    expect((await store.keepLeaseAlive(leaseId)).unwrap()).to.equal(false);
    expect((await store.get('k')).unwrap()).to.equal(undefined);
  });

  it('reports a write without a response as ambiguous, a read as unavailable', async () => {
    server.setFault({kind: 'lose-answers'});
    const put = await store.put('k', 'x');
    expect(put.isErr() && put.error.kind).to.equal('ambiguous');
    const get = await store.get('k');
    expect(get.isErr() && get.error.kind).to.equal('unavailable');
    server.setFault({kind: 'none'});
    expect((await store.get('k')).unwrap()?.value).to.equal('x');
  });

  it('reports a write that could not be sent as unavailable', async () => {
    const unreachable = new HttpStore({
      url: 'http://127.0.0.1:1',
      timeoutMs: 500,
    });
    const put = await unreachable.put('k', 'x');
    expect(put.isErr() && put.error.kind).to.equal('unavailable');
    await unreachable.close();
  });

  // A list that ends early would hide keys, and an absent key is a deleted one.
  for (const end of ['fin', 'reset'] as const) {
    it(`reads no response that ends early: ${end}`, async () => {
      const target = new RawTarget();
      await target.start();
      const url = `http://${target.getAddress()}`;
      const cutStore = new HttpStore({url, timeoutMs: 1_000});
      const watch = {key: 'k', afterRevision: 1, timeoutMs: 1_000};
      for (const head of RESPONSE_HEADS) {
        const bytes = head + RANGE;
        for (let size = 0; size < bytes.length; size += 1) {
          target.script(
            ...Array<RawResponse>(4).fill({bytes: bytes.slice(0, size), end}),
          );
          const results = [
            await cutStore.get('k'),
            await cutStore.list('', 10),
            await cutStore.getStaleRevision(),
            await cutStore.waitForChange(watch),
          ];
          for (const result of results) {
            expect(result.isErr(), `${size} bytes`).to.equal(true);
          }
        }
      }
      await cutStore.close();
      target.stop();
    });
  }
});
