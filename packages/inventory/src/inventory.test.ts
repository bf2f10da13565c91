import {expect} from 'chai';
import fc from 'fast-check';
import {diffStates, getTouchedKeys} from './change.js';
import {digestText} from './digest.js';
import {formatInventory, parseInventory} from './parse_inventory.js';
import type {InventoryRecord} from './records.js';
import {RECORD_SCHEMA} from './records.js';
import {compileRouteTable, findRoute} from './route_table.js';
import {EMPTY_STATE, applyChange, indexRecords, newState} from './state.js';
import {validateState} from './validate_state.js';

const SEED = 20261204;
const RUN_COUNT = 200;

const IDS = fc.stringMatching(/^[a-z0-9][a-z0-9.-]{0,6}$/);
const RECORDS: fc.Arbitrary<InventoryRecord> = fc
  .oneof(
    fc.record({
      kind: fc.constant('data-centre'),
      id: IDS,
      region: fc.stringMatching(/^[a-z][a-z ]{0,8}[a-z]$/),
    }),
    fc.record({kind: fc.constant('owner'), id: IDS, contact: IDS}),
    fc.record({
      kind: fc.constant('service'),
      id: IDS,
      ownerId: IDS,
      dataCentreIds: fc.array(IDS, {minLength: 1, maxLength: 3}),
      shedStatuses: fc.array(fc.integer({min: 400, max: 599}), {maxLength: 2}),
    }),
    fc.record({
      kind: fc.constant('rule'),
      id: IDS,
      serviceId: IDS,
      pathPrefix: fc.constantFrom('/', '/a', '/a/b'),
      priority: fc.nat(3),
    }),
    fc.record(
      {
        kind: fc.constant('workspace'),
        id: IDS,
        keyDigests: fc.array(fc.string().map(digestText), {
          minLength: 1,
          maxLength: 3,
        }),
        ratePerSecond: fc.integer({min: 1, max: 500}),
        urgency: fc.nat(3),
      },
      {requiredKeys: ['kind', 'id', 'keyDigests']},
    ),
  )
  .map(record => RECORD_SCHEMA.parse(record));

function findServiceId(
  path: string,
  rules: readonly object[],
): string | undefined {
  const records = rules.map((rule, index) =>
    RECORD_SCHEMA.parse({kind: 'rule', id: `r${index}`, ...rule}),
  );
  for (const id of ['a', 'b']) {
    const service = {kind: 'service', id, ownerId: 'o', dataCentreIds: ['d']};
    records.push(RECORD_SCHEMA.parse(service));
  }
  const table = compileRouteTable(newState(1, indexRecords(records)));
  const query = {method: 'GET', path, host: 'shop'};
  return findRoute(table, query)?.service.id;
}

describe('Inventory', () => {
  it('parses formatted records back to the same digest', () => {
    fc.assert(
      fc.property(fc.array(RECORDS, {maxLength: 8}), list => {
        const records = indexRecords(list);
        const reparsed = parseInventory(formatInventory(records)).unwrap();
        expect(newState(0, reparsed).digest).to.equal(
          newState(0, records).digest,
        );
      }),
      {seed: SEED, numRuns: RUN_COUNT},
    );
  });

  it('derives one change that turns any state into any other', () => {
    const states = fc.tuple(fc.array(RECORDS), fc.array(RECORDS));
    fc.assert(
      fc.property(states, ([from, to]) => {
        const state = newState(3, indexRecords(from));
        const desired = indexRecords(to);
        const change = diffStates(state, desired, 'a');
        const next = applyChange(state, change);
        expect(next.version).to.equal(4);
        expect(next.digest).to.equal(newState(4, desired).digest);
        const remaining = diffStates(next, desired, 'a');
        expect(getTouchedKeys(remaining).size).to.equal(0);
      }),
      {seed: SEED, numRuns: RUN_COUNT},
    );
  });

  it('reports every section that cannot be parsed', () => {
    const text = '[service.a]\nowner=o\n[owner.b]\nx=1\n[thing.c]\ny=1';
    const parsed = parseInventory(text);
    expect(parsed.isErr()).to.equal(true);
    if (parsed.isOk()) return;
    const sections = parsed.error.map(({section}) => section);
    expect(sections).to.deep.equal(['service.a', 'owner.b', 'thing']);
  });

  it('reports dangling references and ambiguous rules', () => {
    const rule = {kind: 'rule', serviceId: 'missing', pathPrefix: '/x'};
    const records = ['r1', 'r2'].map(id => RECORD_SCHEMA.parse({...rule, id}));
    const problems = validateState(newState(1, indexRecords(records)));
    expect(problems.map(({kind}) => kind).sort()).to.deep.equal([
      'ambiguous-rule',
      'dangling-reference',
      'dangling-reference',
    ]);
    expect(validateState(EMPTY_STATE)).to.deep.equal([]);
  });

  it('matches host, method and whole path segments, by priority, then prefix length', () => {
    const a = {serviceId: 'a', pathPrefix: '/shop'};
    const b = {serviceId: 'b', pathPrefix: '/shop/moulds'};
    expect(findServiceId('/shop/moulds/1', [a, b])).to.equal('b');
    expect(findServiceId('/shop/other', [a, b])).to.equal('a');
    expect(findServiceId('/shopping', [a, b])).to.equal(undefined);
    expect(findServiceId('/shop/moulds', [{...a, priority: 1}, b])).to.equal(
      'a',
    );
    expect(findServiceId('/shop', [{...a, host: 'other'}])).to.equal(undefined);
    expect(findServiceId('/shop', [{...a, method: 'POST'}])).to.equal(
      undefined,
    );
  });
});
