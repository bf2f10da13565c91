import type {Change, InventoryRecord} from '@cassiaknot/inventory';
import {
  RECORD_SCHEMA,
  getTouchedKeys,
  newChange,
  validateState,
} from '@cassiaknot/inventory';
import {InMemoryStore} from '@cassiaknot/store';
import type {CallFault} from '@cassiaknot/store/testing';
import {FaultyStore} from '@cassiaknot/store/testing';
import {expect} from 'chai';
import fc from 'fast-check';
import type {Result} from 'ts-results-es';
import {Backoff} from './backoff.js';
import {collectOrphans} from './collect_orphans.js';
import type {CommitError, CommitReceipt} from './commit_change.js';
import {commitChange} from './commit_change.js';
import type {ConfigurationHead} from './configuration_head.js';
import {CHANGE_PREFIX} from './configuration_head.js';
import {ConfigurationLog} from './configuration_log.js';
import {MAX_RETAINED_CHANGES} from './constants.js';
import {SeededRandom} from './random.js';

const SEED = 20261204;
const RUN_COUNT = 200;

function newOwner(index: number, contact: string): InventoryRecord {
  return RECORD_SCHEMA.parse({kind: 'owner', id: `o${index}`, contact});
}

function newBackoff(): Backoff {
  return new Backoff({minDelayMs: 0, maxDelayMs: 1}, new SeededRandom(1));
}

async function readHead(store: InMemoryStore): Promise<ConfigurationHead> {
  return (await new ConfigurationLog(store).readHead()).unwrap().head;
}

/** The edits of one operator; each touches one or two owners. */
const OPERATOR_EDITS = fc.array(
  fc.uniqueArray(fc.nat(3), {minLength: 1, maxLength: 2}),
  {minLength: 1, maxLength: 3},
);
const FAULTS = fc.array(
  fc.constantFrom<CallFault>(
    'none',
    'none',
    'none',
    'lose-call',
    'lose-answer',
    'delay-call',
    'unavailable',
  ),
  {maxLength: 40},
);

interface Attempt {
  readonly change: Change;
  readonly result: Result<CommitReceipt, CommitError>;
}

async function runOperator(
  name: string,
  edits: readonly number[][],
  store: FaultyStore,
  attempts: Attempt[],
): Promise<void> {
  const log = new ConfigurationLog(store);
  for (const [edit, owners] of edits.entries()) {
    const reading = await log.readHead();
    if (reading.isErr()) continue;
    const {version} = reading.value.head;
    const puts = owners.map(owner => newOwner(owner, `${name}-${edit}`));
    const change = newChange(name, version, puts);
    const options = {store, backoff: newBackoff(), maxAttempts: 4};
    attempts.push({change, result: await commitChange(change, options)});
  }
}

/**
 * Every committed change appears once, with the reported version, and never
 * overwrites a concurrent change that its author had not seen.
 */
async function checkOutcome(
  store: InMemoryStore,
  attempts: readonly Attempt[],
): Promise<void> {
  const log = new ConfigurationLog(store);
  const head = await readHead(store);
  const state = (await log.readState(head)).unwrap();
  expect(validateState(state)).to.deep.equal([]);
  const committed = (await log.readChangesAfter(head, 0)).unwrap() ?? [];
  expect(committed.length).to.equal(head.version);
  const ids = committed.map(({change}) => change.changeId);
  expect(new Set(ids).size).to.equal(ids.length);
  for (const {change, result} of attempts) {
    const version = ids.indexOf(change.changeId) + 1;
    if (result.isOk()) expect(version).to.equal(result.value.version);
    else if (result.error.kind !== 'unknown') expect(version).to.equal(0);
  }
  for (const [index, {change}] of committed.entries()) {
    const touched = getTouchedKeys(change);
    for (const unseen of committed.slice(change.baseVersion, index)) {
      for (const key of getTouchedKeys(unseen.change)) {
        expect(
          touched.has(key),
          `${key} overwritten by a change that had not seen it`,
        ).to.equal(false);
      }
    }
  }
}

describe('commitChange', () => {
  it('commits each change at most once and reports its outcome correctly', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.scheduler(),
        fc.array(OPERATOR_EDITS, {minLength: 2, maxLength: 3}),
        FAULTS,
        fc.array(fc.nat(20), {maxLength: 4}),
        async (scheduler, operators, faults, delayedAt) => {
          const memory = new InMemoryStore();
          const queue = [...faults];
          let callCount = 0;
          const store = new FaultyStore(
            memory,
            () => {
              callCount += 1;
              if (delayedAt.includes(callCount)) {
                void store.applyOldestDelayed();
              }
              return queue.shift() ?? 'none';
            },
            call => scheduler.schedule(Promise.resolve()).then(call),
          );
          const attempts: Attempt[] = [];
          const runs = operators.map((edits, index) =>
            runOperator(`operator-${index}`, edits, store, attempts),
          );
          await scheduler.waitFor(Promise.all(runs));
          await store.applyAllDelayed();
          await checkOutcome(memory, attempts);
        },
      ),
      {seed: SEED, numRuns: RUN_COUNT},
    );
  });

  it('finds a commit by its change id after a lost response and does not repeat it', async () => {
    const memory = new InMemoryStore();
    const faults: CallFault[] = ['none', 'none', 'lose-answer'];
    const store = new FaultyStore(memory, () => faults.shift() ?? 'none');
    const change = newChange('a', 0, [newOwner(1, 'x')]);
    const options = {store, backoff: newBackoff(), maxAttempts: 4};
    const receipt = (await commitChange(change, options)).unwrap();
    expect(receipt.version).to.equal(1);
    expect((await readHead(memory)).version).to.equal(1);
  });

  // The copy has the head at an earlier revision, and the one that the write under way
  // expects is issued again: the write may still take effect.
  it('reports a write of unknown outcome as unknown after the store came back from a copy', async () => {
    const memory = new InMemoryStore();
    const options = {store: memory, backoff: newBackoff(), maxAttempts: 4};
    const first = newChange('a', 0, [newOwner(1, 'x')]);
    (await commitChange(first, options)).unwrap();
    const copy = memory.takeCopy();
    const second = newChange('a', 1, [newOwner(2, 'y')]);
    (await commitChange(second, options)).unwrap();
    let writeCount = 0;
    const store = new FaultyStore(memory, isWrite => {
      if (!isWrite) return 'none';
      writeCount += 1;
      // The first write stores the change, the second one swaps the head.
      if (writeCount === 1) return 'none';
      if (writeCount > 2) return 'unavailable';
      memory.restore(copy);
      return 'lose-call';
    });
    const third = newChange('a', 1, [newOwner(3, 'z')]);
    const faulty = {store, backoff: newBackoff(), maxAttempts: 4};
    const result = await commitChange(third, faulty);
    expect(writeCount).to.be.greaterThan(2);
    expect(result.isErr() && result.error.kind).to.equal('unknown');
  });

  it('reports the record, version and author of a conflict', async () => {
    const store = new InMemoryStore();
    const options = {store, backoff: newBackoff(), maxAttempts: 4};
    const first = newChange('ana', 0, [newOwner(1, 'x')]);
    const second = newChange('ben', 0, [newOwner(1, 'y')]);
    const rebased = newChange('cem', 0, [newOwner(2, 'z')]);
    expect((await commitChange(first, options)).isOk()).to.equal(true);
    const conflict = await commitChange(second, options);
    expect(conflict.isErr() && conflict.error).to.deep.equal({
      kind: 'conflict',
      recordKey: 'owner/o1',
      version: 1,
      author: 'ana',
    });
    expect((await commitChange(rebased, options)).unwrap().version).to.equal(2);
  });

  it('rejects a change with a dangling reference', async () => {
    const store = new InMemoryStore();
    const rule = RECORD_SCHEMA.parse({
      kind: 'rule',
      id: 'r',
      serviceId: 'missing',
      pathPrefix: '/',
    });
    const options = {store, backoff: newBackoff(), maxAttempts: 4};
    const result = await commitChange(newChange('a', 0, [rule]), options);
    expect(result.isErr() && result.error.kind).to.equal('invalid');
    expect((await readHead(store)).version).to.equal(0);
  });

  it('collects orphans of crashed writers and nothing else', async () => {
    const store = new InMemoryStore();
    const options = {store, backoff: newBackoff(), maxAttempts: 4};
    const kept = newChange('a', 0, [newOwner(1, 'x')]);
    expect((await commitChange(kept, options)).isOk()).to.equal(true);
    await store.put(`${CHANGE_PREFIX}dead-writer`, '{}');
    await store.put(`${CHANGE_PREFIX}busy-writer`, '{}');
    const collected = collectOrphans(store, 20);
    await new Promise(resolve => setTimeout(resolve, 5));
    await store.put(`${CHANGE_PREFIX}busy-writer`, '{}');
    expect((await collected).unwrap()).to.equal(1);
    expect(store.countKeys(CHANGE_PREFIX)).to.equal(2);
    const head = await readHead(store);
    const state = await new ConfigurationLog(store).readState(head);
    expect(state.unwrap().version).to.equal(1);
  });

  it('keeps a bounded log from which the state can always be rebuilt', async () => {
    const store = new InMemoryStore();
    const options = {store, backoff: newBackoff(), maxAttempts: 4};
    const log = new ConfigurationLog(store);
    for (let version = 0; version < MAX_RETAINED_CHANGES * 3; version += 1) {
      const change = newChange('a', version, [newOwner(version % 7, 'x')]);
      expect((await commitChange(change, options)).isOk()).to.equal(true);
      const head = await readHead(store);
      const state = (await log.readState(head)).unwrap();
      expect(state.version).to.equal(version + 1);
    }
    expect(store.countKeys(CHANGE_PREFIX)).to.be.at.most(MAX_RETAINED_CHANGES);
  });
});
