import type {PublishedConfiguration} from '@cassiaknot/coordination';
import type {InventoryRecord} from '@cassiaknot/inventory';
import {
  RECORD_SCHEMA,
  compileRouteTable,
  compileWorkspaceIndex,
  digestText,
  newStateFromRecords,
} from '@cassiaknot/inventory';
import {expect} from 'chai';
import {combineUrgency} from './authentication.js';
import type {RelayEntry} from './entry.js';
import type {RelayOutcome} from './outcome.js';
import {
  RecordingObserver,
  ScriptedGates,
  newConfiguration,
  newEmptyConfiguration,
  newEntry,
  newRequest,
} from './testing/scripted_gates.js';

const KEY = 'the-key-of-w1';
const UNKNOWN_KEY = 'a-key-of-nobody';
const PUBLIC_PATH = '/public/x';
/** The header names that the entries of these tests drop. */
const HEADERS = ['X-Key', KEY, 'X-Other', 'o', 'x-WORKSPACE', 'forged'];

function newKeyedConfiguration(): PublishedConfiguration {
  const {state} = newConfiguration(true);
  const added: InventoryRecord[] = [
    {
      kind: 'rule',
      id: 'public',
      serviceId: 's',
      pathPrefix: '/public',
      isPublic: true,
      urgency: 7,
    },
    {kind: 'workspace', id: 'w1', keyDigests: [digestText(KEY)], urgency: 2},
  ].map(record => RECORD_SCHEMA.parse(record));
  const records = [...state.records.values(), ...added];
  const keyed = newStateFromRecords(2, records);
  return {
    state: keyed,
    routes: compileRouteTable(keyed),
    workspaces: compileWorkspaceIndex(keyed),
  };
}

describe('Authentication of callers', () => {
  let gates: ScriptedGates;
  let observer: RecordingObserver;
  let entry: RelayEntry;

  async function start(configuration = newKeyedConfiguration()): Promise<void> {
    gates = new ScriptedGates([]);
    observer = new RecordingObserver();
    entry = await newEntry(gates, true, 100, configuration, observer);
  }

  function request(
    key: string | undefined,
    path = '/x',
  ): Promise<RelayOutcome> {
    return entry.handle({...newRequest(), headers: HEADERS, key, path});
  }

  beforeEach(() => start());

  // Requests with keys that no configuration ever held were served.
  it('refuses requests without a known key on routes that are not public', async () => {
    for (const key of [undefined, '', UNKNOWN_KEY, digestText(KEY)]) {
      const outcome = await request(key);
      expect(outcome).to.include({kind: 'refused', reason: 'unknown-key'});
    }
    expect(gates.offers.length).to.equal(0);
    expect((await request(KEY)).kind).to.equal('answered');
  });

  // The newer version may hold the key: a 401 would be final for the caller.
  it('an instance behind refuses with a later retry instead', async () => {
    gates.hasNewerVersion = true;
    for (const key of [undefined, UNKNOWN_KEY]) {
      const outcome = await request(key);
      expect(outcome).to.include({kind: 'refused', reason: 'version-behind'});
      expect(outcome).to.have.property('retryAfterMs').above(0);
    }
    expect((await request(KEY)).kind).to.equal('answered');
  });

  it('an instance without a configuration refuses with a later retry', async () => {
    await start(newEmptyConfiguration());
    const outcome = await request(KEY);
    expect(outcome).to.include({kind: 'refused', reason: 'no-configuration'});
  });

  // The key was passed on to targets, and callers could name any workspace.
  it('drops key and workspace of callers, and tells the gate the workspace', async () => {
    await request(KEY);
    await request(KEY, PUBLIC_PATH);
    await request(UNKNOWN_KEY, PUBLIC_PATH);
    await request(undefined, PUBLIC_PATH);
    const offers = gates.offers.map(({offer}) => offer);
    for (const offer of offers) {
      expect(offer.headers).to.deep.equal(['X-Other', 'o']);
    }
    const ids = offers.map(({workspaceId}) => workspaceId);
    expect(ids).to.deep.equal(['w1', 'w1', undefined, undefined]);
  });

  // Deployments without workspaces use both headers for other purposes.
  it('without workspaces, passes all headers and needs no key', async () => {
    await start(newConfiguration(true));
    for (const key of [undefined, UNKNOWN_KEY]) {
      expect((await request(key)).kind).to.equal('answered');
    }
    for (const {offer} of gates.offers) {
      expect(offer.headers).to.deep.equal(HEADERS);
      expect(offer.workspaceId).to.equal(undefined);
      expect(offer.urgency).to.equal(1);
    }
  });

  // A log line with a key gives it to everyone who may read logs.
  it('logs how a request was decided, but no key', async () => {
    await request(UNKNOWN_KEY);
    await request(undefined);
    await request(KEY);
    await request(UNKNOWN_KEY, PUBLIC_PATH);
    const [unknown, missing, known] = observer.lines.filter(
      ({event}) => event === 'refused' || event === 'answered',
    );
    expect(unknown?.fields).to.include({
      reason: 'unknown-key',
      keyState: 'unknown',
      version: 2,
      ruleId: 'r',
    });
    expect(missing?.fields).to.include({keyState: 'missing'});
    expect(known?.fields).to.include({workspaceId: 'w1'});
    const log = JSON.stringify(observer.lines);
    for (const key of [KEY, UNKNOWN_KEY, digestText(KEY)]) {
      expect(log).not.to.include(key);
    }
  });

  // Ranked by the route alone, a workspace of low priority took the slots of others.
  it('ranks the priority of the workspace before that of the route', async () => {
    const {workspaces} = newKeyedConfiguration().workspaces;
    const [second] = workspaces.values();
    const first = second && {...second, urgency: 0};
    const ranked = [
      combineUrgency(undefined, 0),
      combineUrgency(undefined, 1_000),
      combineUrgency(first, 0),
      combineUrgency(first, 1_000),
      combineUrgency(second, 0),
      combineUrgency(second, 1),
    ];
    const sorted = [...ranked].sort((left, right) => left - right);
    expect(ranked).to.deep.equal(sorted);
    expect(new Set(ranked).size).to.equal(ranked.length);
    await request(KEY, PUBLIC_PATH);
    await request(undefined, PUBLIC_PATH);
    const urgencies = gates.offers.map(({offer}) => offer.urgency);
    expect(urgencies).to.deep.equal([combineUrgency(second, 7), 7]);
  });
});
