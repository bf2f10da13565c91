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
import type {RelayEntry} from './entry.js';
import type {RelayOutcome} from './outcome.js';
import {ShareRefusals} from './share_refusals.js';
import type {ReplyKind} from './testing/scripted_gates.js';
import {
  GATE_COUNT,
  RecordingObserver,
  ScriptedGates,
  newConfiguration,
  newEntry,
  newRequest,
} from './testing/scripted_gates.js';

const HOT_KEY = 'the-key-of-hot';
const SMALL_KEY = 'the-key-of-small';
const SHARE_WAIT_MS = 3_000;

/** Counts events by their name and reason. */
class CountingObserver extends RecordingObserver {
  readonly counts = new Map<string, number>();

  override count(event?: string, reason?: string): void {
    const key = `${event ?? ''} ${reason ?? ''}`;
    this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
  }
}

function newConfigurationOfTwo(): PublishedConfiguration {
  const {state} = newConfiguration(true);
  const added: InventoryRecord[] = [
    {kind: 'workspace', id: 'hot', keyDigests: [digestText(HOT_KEY)]},
    {kind: 'workspace', id: 'small', keyDigests: [digestText(SMALL_KEY)]},
  ].map(record => RECORD_SCHEMA.parse(record));
  const records = [...state.records.values(), ...added];
  const withWorkspaces = newStateFromRecords(2, records);
  return {
    state: withWorkspaces,
    routes: compileRouteTable(withWorkspaces),
    workspaces: compileWorkspaceIndex(withWorkspaces),
  };
}

describe('Gates after a refusal for exceeding the fair share', () => {
  const local = {isSameDataCentre: true};
  const remote = {isSameDataCentre: false};

  it('before it: are those of all data centres', () => {
    const refusals = new ShareRefusals();
    expect(refusals.selectCandidates([local, remote])).to.have.length(2);
  });

  // The gates of one data centre were loaded alike, and both refused the request.
  it('uneven data centres: are those of another one', () => {
    const refusals = new ShareRefusals();
    refusals.recordRefusal(100);
    const candidates = refusals.selectCandidates([local, remote]);
    expect(candidates).to.deep.equal([remote]);
  });

  it('one data centre: are those of this one', () => {
    const refusals = new ShareRefusals();
    refusals.recordRefusal(100);
    expect(refusals.selectCandidates([local])).to.deep.equal([local]);
  });
});

describe('Refusals for exceeding the fair share', () => {
  let gates: ScriptedGates;
  let observer: CountingObserver;
  let entry: RelayEntry;

  async function start(
    replies: readonly ReplyKind[],
    waitMs = SHARE_WAIT_MS,
  ): Promise<void> {
    gates = new ScriptedGates(replies, waitMs);
    observer = new CountingObserver();
    const configuration = newConfigurationOfTwo();
    entry = await newEntry(gates, true, 100, configuration, observer);
  }

  function request(key: string, requestId = 'r1'): Promise<RelayOutcome> {
    return entry.handle({...newRequest(), key, requestId});
  }

  // Each offer costs both sides time that others need, and all gates share alike.
  it('one hot workspace: its refused request is offered once more, and the log says why', async () => {
    await start(Array<ReplyKind>(10).fill('over-share'));
    const outcome = await request(HOT_KEY);
    expect(outcome).to.include({kind: 'refused', reason: 'over-share'});
    expect(gates.offers).to.have.length(2);
    const line = observer.lines.find(({event}) => event === 'refused');
    expect(line?.fields).to.include({shareRefusals: 2, workspaceId: 'hot'});
  });

  it('one hot workspace: a gate that is busy ends the offers after such a refusal', async () => {
    await start(['over-share', 'busy', 'answer']);
    const outcome = await request(HOT_KEY);
    expect(outcome).to.include({kind: 'refused', reason: 'over-share'});
    expect(gates.offers).to.have.length(2);
  });

  it('lumps of demand: the further gate may serve the request', async () => {
    await start(['over-share', 'answer']);
    const outcome = await request(HOT_KEY);
    expect(outcome.kind).to.equal('answered');
  });

  it('one hot workspace: is told to come back no earlier than its share allows', async () => {
    await start(Array<ReplyKind>(10).fill('over-share'));
    const outcome = await request(HOT_KEY);
    if (outcome.kind !== 'refused') throw new Error('not refused');
    expect(outcome.retryAfterMs).to.be.at.least(SHARE_WAIT_MS);
    expect(outcome.retryAfterMs).to.be.below(2 * SHARE_WAIT_MS);
  });

  // The long wait of a hot workspace ruled out the gate for all others.
  it('a small workspace beside a hot one: is offered to gates that have refused the hot one', async () => {
    await start(Array<ReplyKind>(GATE_COUNT).fill('over-share'));
    await request(HOT_KEY, 'r1');
    await request(HOT_KEY, 'r2');
    expect(new Set(gates.offers.map(({gate}) => gate)).size).to.be.above(1);
    const outcome = await request(SMALL_KEY, 'r3');
    expect(outcome.kind).to.equal('answered');
    expect(gates.offers).to.have.length(GATE_COUNT + 1);
  });

  it('no workspace: a busy mesh gets as many offers as before', async () => {
    gates = new ScriptedGates(Array<ReplyKind>(10).fill('busy'));
    entry = await newEntry(gates, true);
    const outcome = await entry.handle(newRequest());
    expect(outcome).to.include({kind: 'refused', reason: 'overloaded'});
    expect(gates.offers).to.have.length(GATE_COUNT);
  });

  it('repeated after a refusal: the request is counted, and so is a further refusal', async () => {
    await start(['over-share', 'over-share', 'over-share', 'over-share']);
    await request(HOT_KEY);
    expect(observer.counts.has('repeated over-share')).to.equal(false);
    await request(HOT_KEY);
    await request(HOT_KEY);
    expect(observer.counts.get('repeated over-share')).to.equal(2);
    expect(observer.counts.get('refused-again over-share')).to.equal(1);
    await request(HOT_KEY);
    // The third attempt was answered, so that the fourth is a new request.
    expect(observer.counts.get('repeated over-share')).to.equal(2);
  });
});
