import {expect} from 'chai';
import {newChange} from './change.js';
import {digestText} from './digest.js';
import type {InventoryRecord} from './records.js';
import {RECORD_SCHEMA, makeRecordKey} from './records.js';
import {compileNextRouteTable, compileRouteTable} from './route_table.js';
import type {ConfigurationState} from './state.js';
import {applyChange, newStateFromRecords} from './state.js';
import {
  describeProblem,
  validateNextState,
  validateState,
} from './validate_state.js';
import {
  compileNextWorkspaceIndex,
  compileWorkspaceIndex,
  findWorkspaceByKey,
  hasWorkspaces,
} from './workspace_index.js';

const BASE: readonly unknown[] = [
  {kind: 'owner', id: 'o', contact: 'c'},
  {kind: 'data-centre', id: 'd', region: 'r'},
  {kind: 'service', id: 's', ownerId: 'o', dataCentreIds: ['d']},
  {kind: 'rule', id: 'r', serviceId: 's', pathPrefix: '/'},
];

function newWorkspace(id: string, keys: readonly string[]): InventoryRecord {
  const keyDigests = keys.map(digestText).sort();
  return RECORD_SCHEMA.parse({kind: 'workspace', id, keyDigests});
}

function newBase(): InventoryRecord[] {
  return BASE.map(record => RECORD_SCHEMA.parse(record));
}

function put(
  state: ConfigurationState,
  records: readonly InventoryRecord[],
): ConfigurationState {
  return applyChange(state, newChange('a', state.version, records));
}

describe('Workspace index', () => {
  const first = newStateFromRecords(1, [
    ...newBase(),
    newWorkspace('w1', ['key-1', 'key-2']),
    newWorkspace('w2', ['key-3']),
  ]);
  const index = compileWorkspaceIndex(first);

  it('finds the workspace of each key, and none for others', () => {
    expect(hasWorkspaces(index)).to.equal(true);
    expect(findWorkspaceByKey(index, 'key-2')?.id).to.equal('w1');
    expect(findWorkspaceByKey(index, 'key-3')?.id).to.equal('w2');
    for (const key of ['', 'key', 'key-1 ', digestText('key-1')]) {
      expect(findWorkspaceByKey(index, key), key).to.equal(undefined);
    }
    const without = compileWorkspaceIndex(newStateFromRecords(1, newBase()));
    expect(hasWorkspaces(without)).to.equal(false);
  });

  // Each version rebuilt the index of thousands of keys on slow machines.
  it('is kept if no workspace has changed', () => {
    const owner = RECORD_SCHEMA.parse({kind: 'owner', id: 'o', contact: 'x'});
    const second = put(first, [owner]);
    expect(compileNextWorkspaceIndex(first, index, second)).to.equal(index);
    const snapshot = newStateFromRecords(3, [
      ...newBase(),
      newWorkspace('w1', ['key-1', 'key-2']),
      newWorkspace('w2', ['key-3']),
    ]);
    expect(compileNextWorkspaceIndex(first, index, snapshot)).to.equal(index);
  });

  // A kept index would let a removed key work on, or refuse an added one.
  it('follows added, changed and removed workspaces', () => {
    const changed = put(first, [newWorkspace('w1', ['key-1', 'key-4'])]);
    const changedIndex = compileNextWorkspaceIndex(first, index, changed);
    expect(findWorkspaceByKey(changedIndex, 'key-2')).to.equal(undefined);
    expect(findWorkspaceByKey(changedIndex, 'key-4')?.id).to.equal('w1');
    const added = put(first, [newWorkspace('w3', ['key-5'])]);
    const addedIndex = compileNextWorkspaceIndex(first, index, added);
    expect(findWorkspaceByKey(addedIndex, 'key-5')?.id).to.equal('w3');
    const removal = newChange('a', 1, [], [makeRecordKey('workspace', 'w2')]);
    const removed = applyChange(first, removal);
    const removedIndex = compileNextWorkspaceIndex(first, index, removed);
    expect(removedIndex).to.deep.equal(compileWorkspaceIndex(removed));
    expect(findWorkspaceByKey(removedIndex, 'key-3')).to.equal(undefined);
  });

  // Compiling all routes takes long on slow machines, and resets the traffic splits.
  it('leaves the routes of the version before when only workspaces change', () => {
    const table = compileRouteTable(first);
    const many = Array.from({length: 100}, (_, number) =>
      newWorkspace(`n${number}`, [`new-${number}`]),
    );
    const second = put(first, many);
    const next = compileNextRouteTable(first, table, second);
    expect(next.version).to.equal(2);
    expect(next.routes).to.equal(table.routes);
    expect(next).to.deep.equal(compileRouteTable(second));
  });

  // With a shared key, the order of the records decided whose limits applied.
  it('a state in which two workspaces hold a key, or one holds it twice, is invalid', () => {
    const shared = newWorkspace('w3', ['key-3', 'key-1']);
    const second = put(first, [shared]);
    const problems = validateNextState(first, second);
    expect(problems).to.deep.equal(validateState(second));
    expect(problems.map(describeProblem)).to.have.members([
      'workspace/w3 holds a key of workspace/w1',
      'workspace/w3 holds a key of workspace/w2',
    ]);
    const twice = put(first, [newWorkspace('w4', ['key-5', 'key-5'])]);
    expect(validateNextState(first, twice).map(describeProblem)).to.deep.equal([
      'workspace/w4 holds a key twice',
    ]);
    // A key may move from one workspace to another within a version.
    const moved = put(first, [
      newWorkspace('w1', ['key-3', 'key-2']),
      newWorkspace('w2', ['key-1']),
    ]);
    expect(validateNextState(first, moved)).to.deep.equal([]);
  });
});
