import type {ServiceId} from '@cassiaknot/inventory';
import {brandId} from '@cassiaknot/inventory';
import type {Fingerprint} from '@cassiaknot/peer-protocol';
import {InMemoryStore} from '@cassiaknot/store';
import type {CallFault} from '@cassiaknot/store/testing';
import {FaultyStore} from '@cassiaknot/store/testing';
import type {Clock} from '@sinonjs/fake-timers';
import FakeTimers from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';
import {Deadline} from '../deadline.js';
import type {Answer} from '../outcome.js';
import {CLAIM_PREFIX} from './claim_record.js';
import type {ClaimDecision, ClaimKeeper} from './claims.js';
import {StoreClaimKeeper} from './claims.js';

const SEED = 20261204;
const RUN_COUNT = 200;
const HORIZON_MS = 60_000;
const TIMEOUT_MS = 5_000;
const SERVICE_ID = brandId<ServiceId>('orders');

function newAnswer(text: string): Answer {
  const body = Buffer.from(text);
  return {statusCode: 200, headers: {}, body, rest: undefined};
}

function claimKey(
  keeper: ClaimKeeper,
  fingerprint = 'same',
  timeoutMs = TIMEOUT_MS,
): Promise<ClaimDecision> {
  return keeper.claim({
    serviceId: SERVICE_ID,
    idempotencyKey: 'key',
    fingerprint: brandId<Fingerprint>(fingerprint),
    deadline: new Deadline(timeoutMs),
  });
}

/** How the holder of a claim goes on. */
type Ending = 'finish' | 'release' | 'crash';

const FAULTS = fc.array(
  fc.constantFrom<CallFault>(
    'none',
    'none',
    'lose-call',
    'lose-answer',
    'delay-call',
    'unavailable',
  ),
  {maxLength: 30},
);
const ENDINGS = fc.array(
  fc.constantFrom<Ending>('finish', 'release', 'crash'),
  {
    minLength: 2,
    maxLength: 5,
  },
);

describe('StoreClaimKeeper', () => {
  let clock: Clock & {uninstall(): void};

  beforeEach(() => {
    clock = FakeTimers.install();
  });

  afterEach(() => {
    clock.uninstall();
  });

  async function settle<T>(promise: Promise<T>): Promise<T> {
    const progress = {isDone: false};
    void promise.finally(() => {
      progress.isDone = true;
    });
    while (!progress.isDone) await clock.tickAsync(10);
    return promise;
  }

  it('lets a key run at most once, whatever the store loses', async () => {
    await fc.assert(
      fc.asyncProperty(
        FAULTS,
        ENDINGS,
        fc.array(fc.nat(25), {maxLength: 4}),
        async (faults, endings, delayedAt) => {
          const memory = new InMemoryStore();
          const queue = [...faults];
          let callCount = 0;
          const store = new FaultyStore(memory, () => {
            callCount += 1;
            if (delayedAt.includes(callCount)) void store.applyOldestDelayed();
            return queue.shift() ?? 'none';
          });
          const keepers = endings.map(
            () => new StoreClaimKeeper(store, HORIZON_MS),
          );
          let runCount = 0;
          const resends = keepers.map(async (keeper, index) => {
            await new Promise(resolve => setTimeout(resolve, index * 30));
            const decision = await claimKey(keeper);
            if (decision.kind === 'replay') {
              expect(runCount).to.equal(1);
              expect(decision.answer.body.toString()).to.equal('ran');
            }
            if (decision.kind !== 'claimed') return;
            const ending = endings[index];
            if (ending === 'release') {
              decision.claim.release();
              return;
            }
            runCount += 1;
            expect(runCount, 'a second run').to.equal(1);
            if (ending === 'finish') decision.claim.finish(newAnswer('ran'));
          });
          await settle(Promise.all(resends));
          await store.applyAllDelayed();
        },
      ),
      {seed: SEED, numRuns: RUN_COUNT},
    );
  });

  it('replays the answer of a finished request', async () => {
    const store = new InMemoryStore();
    const keeper = new StoreClaimKeeper(store, HORIZON_MS);
    const first = await settle(claimKey(keeper));
    if (first.kind === 'claimed') first.claim.finish(newAnswer('poured'));
    await clock.tickAsync(100);
    const second = await settle(claimKey(keeper));
    expect(second.kind).to.equal('replay');
    if (second.kind !== 'replay') return;
    expect(second.answer.body.toString()).to.equal('poured');
  });

  it('waits for a holder that is still running', async () => {
    const store = new InMemoryStore();
    const first = await settle(
      claimKey(new StoreClaimKeeper(store, HORIZON_MS)),
    );
    const second = claimKey(new StoreClaimKeeper(store, HORIZON_MS));
    await clock.tickAsync(1_000);
    if (first.kind === 'claimed') first.claim.finish(newAnswer('late'));
    expect((await settle(second)).kind).to.equal('replay');
  });

  it('refuses a key that another request has used', async () => {
    const keeper = new StoreClaimKeeper(new InMemoryStore(), HORIZON_MS);
    await settle(claimKey(keeper, 'one'));
    const other = await settle(claimKey(keeper, 'other'));
    expect(other).to.deep.equal({
      kind: 'refused',
      reason: 'claim-key-reused',
    });
  });

  it('refuses as not run while the store is down', async () => {
    const store = new FaultyStore(new InMemoryStore(), () => 'unavailable');
    const keeper = new StoreClaimKeeper(store, HORIZON_MS);
    const decision = await settle(claimKey(keeper));
    expect(decision.kind).to.equal('refused');
  });

  it('lets claims end by themselves after the horizon', async () => {
    const store = new InMemoryStore();
    const keeper = new StoreClaimKeeper(store, HORIZON_MS);
    await settle(claimKey(keeper));
    await clock.tickAsync(HORIZON_MS);
    expect(store.countKeys(CLAIM_PREFIX)).to.equal(1);
    await clock.tickAsync(HORIZON_MS + TIMEOUT_MS);
    expect(store.countKeys(CLAIM_PREFIX)).to.equal(0);
  });
});
