import type {Clock} from '@sinonjs/fake-timers';
import FakeTimers from '@sinonjs/fake-timers';
import {expect} from 'chai';
import fc from 'fast-check';
import type {ReplyKind} from './testing/scripted_gates.js';
import {
  GATE_COUNT,
  RecordingObserver,
  SERVICE,
  ScriptedGates,
  handle,
  newConfiguration,
  newEmptyConfiguration,
  newEntry,
  newRequest,
} from './testing/scripted_gates.js';

const SEED = 20261204;
const RUN_COUNT = 200;

const ARRIVING_REPLIES: ReadonlySet<ReplyKind> = new Set([
  'answer',
  'failure',
  'shed',
  'loss',
]);
const RUNNING_REPLIES: ReadonlySet<ReplyKind> = new Set([
  'answer',
  'failure',
  'loss',
]);

describe('Relay entry', () => {
  let clock: Clock | undefined;

  afterEach(() => {
    clock?.uninstall();
    clock = undefined;
  });

  it('all targets busy: offers a request to each overloaded target once and then refuses it', async () => {
    const gates = new ScriptedGates(Array<ReplyKind>(1_000).fill('busy'));
    const outcome = await handle(gates, true);
    expect(outcome).to.include({kind: 'refused', reason: 'overloaded'});
    expect(gates.offers.length).to.equal(4);
  });

  // A request waits for a version check after a pause; its caller may leave then.
  it('makes no offer for a caller that has already left', async () => {
    const gates = new ScriptedGates(['answer']);
    const entry = await newEntry(gates, true);
    const controller = new AbortController();
    controller.abort();
    const request = {...newRequest(), signal: controller.signal};
    const outcome = await entry.handle(request);
    expect(outcome).to.deep.equal({kind: 'lost', reason: 'cancelled'});
    expect(gates.offers.length).to.equal(0);
  });

  // A request that arrived late in a planned stop ran at a target, and was cut when
  // the process ended.
  it('planned stop: refuses at once what can not be completed before the end', async () => {
    const gates = new ScriptedGates(['answer', 'answer']);
    const entry = await newEntry(gates, false);
    const request = newRequest();
    const timeoutMs = request.timeoutMs ?? 0;
    const tooEarlyMs = request.receivedAtMs + timeoutMs;
    const late = {...request, serveUntilMs: tooEarlyMs};
    const outcome = await entry.handle(late);
    expect(outcome).to.include({kind: 'refused', reason: 'stopping'});
    expect(gates.offers.length).to.equal(0);
    const inTime = {...request, serveUntilMs: tooEarlyMs + 1_000};
    expect((await entry.handle(inTime)).kind).to.equal('answered');
  });

  // A non-idempotent request that was cut behind another one ran twice, as its caller sent
  // it again. The response to any request is cut behind one without a length.
  it('lets only idempotent requests of framed services overlap on a connection', async () => {
    clock = FakeTimers.install({toFake: ['performance']});
    const once = await newEntry(new ScriptedGates([]), false);
    expect(once.mayOverlap(newRequest())).to.equal(false);
    const gates = new ScriptedGates(['answer', 'unframed']);
    const entry = await newEntry(gates, true);
    await entry.handle(newRequest());
    expect(entry.mayOverlap(newRequest())).to.equal(true);
    await entry.handle(newRequest());
    expect(entry.mayOverlap(newRequest())).to.equal(false);
    clock.tick(60_000);
    expect(entry.mayOverlap(newRequest())).to.equal(true);
  });

  it('retry storm: makes no offers to gates that have just reported a long wait', async () => {
    clock = FakeTimers.install({toFake: ['performance']});
    const gates = new ScriptedGates(
      Array<ReplyKind>(1_000).fill('busy'),
      2_000,
    );
    const entry = await newEntry(gates, true);
    // The first request is offered to three gates, the second to the fourth.
    await entry.handle(newRequest());
    await entry.handle(newRequest());
    const offerCount = gates.offers.length;
    for (let index = 0; index < 50; index += 1) {
      const outcome = await entry.handle(newRequest());
      expect(outcome).to.include({kind: 'refused', reason: 'overloaded'});
    }
    expect(gates.offers.length).to.equal(offerCount);
  });

  it('one target busy: offers a request to the next target if one is overloaded', async () => {
    const gates = new ScriptedGates(['busy', 'answer']);
    expect((await handle(gates, false)).kind).to.equal('answered');
    const names = gates.offers.map(({gate}) => gate);
    expect(new Set(names).size).to.equal(2);
  });

  it('gray failure: retries a failed idempotent request at another target', async () => {
    const gates = new ScriptedGates(['failure', 'answer']);
    const outcome = await handle(gates, true);
    expect(outcome).to.include({kind: 'answered', statusCode: 200});
  });

  it('gray failure: lets a caller retry soon after its request was refused by the target', async () => {
    // The retry budget is exhausted, so the caller itself has to retry.
    const entry = await newEntry(new ScriptedGates(['shed']), true, 0);
    const outcome = await entry.handle(newRequest());
    expect(outcome).to.include({kind: 'refused', reason: 'target-refused'});
    // After a third of the objective, the retry would hardly meet it any more.
    if (outcome.kind !== 'refused') return;
    expect(outcome.retryAfterMs).to.be.below(400 / 3);
  });

  it('quarantine: sets a Retry-After of at least a minute on a quarantined request', async () => {
    const entry = await newEntry(new ScriptedGates(['quarantined']), true);
    const outcome = await entry.handle(newRequest());
    expect(outcome).to.include({kind: 'refused', reason: 'quarantined'});
    if (outcome.kind !== 'refused') return;
    expect(outcome.retryAfterMs).to.be.at.least(60_000);
  });

  it('logs one line per outcome with the fields that explain it', async () => {
    const observer = new RecordingObserver();
    const gates = new ScriptedGates(['busy', 'failure', 'failure']);
    const configuration = newConfiguration(true);
    const entry = await newEntry(gates, true, 100, configuration, observer);
    await entry.handle(newRequest());
    const outcomes = observer.lines.filter(({event}) => event === 'answered');
    expect(outcomes.length).to.equal(1);
    expect(outcomes[0]?.fields).to.include({
      requestId: 'r1',
      reason: 'status-500',
      ruleId: 'r',
      serviceId: SERVICE,
      version: 1,
      gate: gates.offers.at(-1)?.gate.split(':')[0],
      offers: 3,
      arrivals: 2,
      acceptingGates: GATE_COUNT,
    });
  });

  // Routes of a version that had been announced, but not received yet, got 404.
  it('does not report a route as unknown while a newer version is known', async () => {
    const gates = new ScriptedGates([]);
    gates.hasNewerVersion = true;
    const entry = await newEntry(gates, true);
    const request = {...newRequest(), host: '', path: 'x'};
    const refused = await entry.handle(request);
    expect(refused).to.include({kind: 'refused', reason: 'version-behind'});
    gates.hasNewerVersion = false;
    const unrouted = await entry.handle(request);
    expect(unrouted).to.include({kind: 'refused', reason: 'no-route'});
  });

  it('reports an unknown route only if it has a configuration', async () => {
    const gates = new ScriptedGates([]);
    const unconfigured = await newEntry(
      gates,
      true,
      0,
      newEmptyConfiguration(),
    );
    const refused = await unconfigured.handle(newRequest());
    expect(refused).to.include({kind: 'refused', reason: 'no-configuration'});
    const configured = await newEntry(gates, true);
    const unrouted = await configured.handle({
      ...newRequest(),
      host: '',
      path: 'x',
    });
    expect(unrouted).to.include({kind: 'refused', reason: 'no-route'});
    expect(gates.offers).to.deep.equal([]);
  });

  it('runs a non-idempotent request at most once and refuses none that ran', async () => {
    const replyKind = fc.constantFrom<ReplyKind>(
      'answer',
      'failure',
      'busy',
      'draining',
      'shed',
      'loss',
    );
    await fc.assert(
      fc.asyncProperty(
        fc.array(replyKind, {maxLength: 8}),
        fc.boolean(),
        async (replies, isIdempotent) => {
          const gates = new ScriptedGates(replies);
          const outcome = await handle(gates, isIdempotent);
          const sent = gates.getSentReplies();
          const runs = sent.filter(item => RUNNING_REPLIES.has(item)).length;
          const arrivals = sent.filter(item =>
            ARRIVING_REPLIES.has(item),
          ).length;
          expect(arrivals).to.be.at.most(2);
          if (!isIdempotent) expect(runs).to.be.at.most(1);
          if (outcome.kind === 'refused') expect(runs).to.equal(0);
          expect(sent.length).to.be.at.most(GATE_COUNT + 1);
        },
      ),
      {seed: SEED, numRuns: RUN_COUNT},
    );
  });
});
