import {expect} from 'chai';
import fc from 'fast-check';
import {newChange} from './change.js';
import {digestText} from './digest.js';
import type {InventoryRecord} from './records.js';
import {RECORD_SCHEMA, makeRecordKey} from './records.js';
import {compileNextRouteTable, compileRouteTable} from './route_table.js';
import {applyChange, newStateFromRecords} from './state.js';
import {validateNextState, validateState} from './validate_state.js';
import {
  compileNextWorkspaceIndex,
  compileWorkspaceIndex,
} from './workspace_index.js';

const SEED = 20261206;
const RUN_COUNT = 400;
const HOSTS = ['h1', 'h2', undefined];

const OWNERS: InventoryRecord[] = [
  {kind: 'owner', id: 'o', contact: 'c'},
  {kind: 'data-centre', id: 'd', region: 'r'},
].map(record => RECORD_SCHEMA.parse(record));

function newService(id: string, ownerId = 'o'): InventoryRecord {
  return RECORD_SCHEMA.parse({
    kind: 'service',
    id,
    ownerId,
    dataCentreIds: ['d'],
  });
}

const RULES = fc
  .record({
    id: fc.constantFrom('r1', 'r2', 'r3', 'r4', 'r5', 'r6'),
    serviceId: fc.constantFrom('s1', 's2', 'missing'),
    host: fc.constantFrom(...HOSTS),
    pathPrefix: fc.constantFrom('/', '/a', '/b/', '/c/d'),
    priority: fc.nat(1),
  })
  .map(rule => RECORD_SCHEMA.parse({kind: 'rule', ...rule}));

const WORKSPACES = fc
  .record({
    id: fc.constantFrom('w1', 'w2', 'w3'),
    keyDigests: fc
      .subarray(['key-1', 'key-2', 'key-3', 'key-4'])
      .map(keys => keys.map(digestText).sort()),
  })
  .map(workspace => RECORD_SCHEMA.parse({kind: 'workspace', ...workspace}));

const STEPS = fc.array(
  fc.record({
    puts: fc.array(
      fc.oneof(
        {weight: 6, arbitrary: RULES},
        {weight: 1, arbitrary: fc.constant(newService('s1'))},
        {weight: 1, arbitrary: fc.constant(newService('s2', 'nobody'))},
        {weight: 2, arbitrary: WORKSPACES},
      ),
      {maxLength: 3},
    ),
    removes: fc.subarray([
      makeRecordKey('rule', 'r1'),
      makeRecordKey('rule', 'r2'),
      makeRecordKey('service', 's2'),
      makeRecordKey('workspace', 'w1'),
    ]),
  }),
  {maxLength: 12},
);

describe('Small changes', () => {
  it('are validated and compiled as a whole state would be', () => {
    const property = fc.property(STEPS, steps => {
      const first = [...OWNERS, newService('s1'), newService('s2')];
      let valid = newStateFromRecords(1, first);
      let table = compileRouteTable(valid);
      let index = compileWorkspaceIndex(valid);
      let tip = valid;
      for (const {puts, removes} of steps) {
        const change = newChange('a', tip.version, puts, removes);
        tip = applyChange(tip, change);
        const problems = validateNextState(valid, tip);
        expect(problems).to.deep.equal(validateState(tip));
        if (problems.length > 0) continue;
        table = compileNextRouteTable(valid, table, tip);
        expect(table).to.deep.equal(compileRouteTable(tip));
        index = compileNextWorkspaceIndex(valid, index, tip);
        expect(index).to.deep.equal(compileWorkspaceIndex(tip));
        valid = tip;
      }
    });
    fc.assert(property, {seed: SEED, numRuns: RUN_COUNT});
  });
});
