import {expect} from 'chai';
import {RECORD_SCHEMA} from '@cassiaknot/inventory';
import {CallHistory} from '../call_history.js';
import {MeshCaller} from '../mesh_caller.js';
import {waitFor} from '../child_processes.js';
import type {TargetProcess} from '../child_processes.js';
import {SMALL_INVENTORY} from '../inventories.js';
import type {InstanceOptions, TestInstance} from '../test_mesh.js';
import {TestMesh} from '../test_mesh.js';
import {sleep} from '../sleep.js';

const FLEET: readonly InstanceOptions[] = ['lautoka', 'nadi'].flatMap(
  dataCentreId => [
    {instanceId: `${dataCentreId}-c`, dataCentreId, serviceId: 'catalogue'},
    {instanceId: `${dataCentreId}-o`, dataCentreId, serviceId: 'orders'},
  ],
);

describe('Mesh of processes', () => {
  let mesh: TestMesh;
  let caller: MeshCaller;
  let history: CallHistory;
  let catalogueA: TestInstance;
  let ordersA: TestInstance;
  let catalogueB: TestInstance;
  let ordersB: TestInstance;

  beforeEach(async () => {
    mesh = new TestMesh();
    caller = new MeshCaller();
    history = new CallHistory(caller);
    await mesh.start();
    await mesh.acceptInventory(SMALL_INVENTORY);
    const instances = await mesh.addInstances(FLEET);
    [catalogueA, ordersA, catalogueB, ordersB] = instances as [
      TestInstance,
      TestInstance,
      TestInstance,
      TestInstance,
    ];
    await mesh.waitForTargets('catalogue', 2);
    await mesh.waitForTargets('orders', 2);
  });

  afterEach(async () => {
    await caller.close();
    await mesh.stop();
  });

  function getTargets(): TargetProcess[] {
    return mesh.instances.flatMap(({target}) => (target ? [target] : []));
  }

  function expectNoViolations(): void {
    expect(history.findViolations(getTargets())).to.deep.equal([]);
  }

  it('returns to each caller its own complete response when responses are late and out of order', async () => {
    const calls = Array.from({length: 300}, (_, index) => {
      const {daemon} = index % 2 === 0 ? catalogueA : ordersB;
      const delayMs = (index * 37) % 120;
      const path = `/orders/x?delay=${delayMs}`;
      return history.call(daemon.getEntryUrl(), {method: 'POST', path});
    });
    await Promise.all(calls);
    expectNoViolations();
    expect(history.count('cut')).to.equal(0);
    expect(history.count('answered')).to.be.above(0);
  });

  it('reports a truncated short response as unknown and breaks the connection of a long one', async () => {
    const {result: short} = await history.call(
      catalogueA.daemon.getEntryUrl(),
      {
        method: 'POST',
        path: '/orders/x?size=10000&cut=500',
      },
    );
    expect(short.outcome).to.equal('unknown');
    const {result: long} = await history.call(catalogueA.daemon.getEntryUrl(), {
      method: 'POST',
      path: '/orders/x?size=2000000&cut=1000000&chunked',
    });
    expect(long.outcome).to.equal('cut');
  });

  it('forwards large responses completely', async () => {
    const {result} = await history.call(catalogueA.daemon.getEntryUrl(), {
      method: 'GET',
      path: '/catalogue/x?size=3000000',
    });
    expect(result.outcome).to.equal('answered');
    expect(result.body.length).to.equal(3_000_000);
  });

  // Another writer's seed key with an impossible address ended every process that
  // listed it, again after each start.
  it('starts and finds its peers beside seed keys that can not be dialled', async () => {
    const {memory} = mesh.store;
    for (const value of ['127.0.0.1:99999', '[[]]:80', '[::zz]:8080', '{{{']) {
      await memory.put(`cassiaknot/seed/lautoka/odd-${value}`, value);
    }
    const {daemon} = catalogueA;
    await daemon.kill();
    await daemon.launch();
    await mesh.waitForTargets('catalogue', 2);
    const {result} = await history.call(daemon.getEntryUrl(), {
      method: 'GET',
      path: '/catalogue/x',
    });
    expect(result.outcome, result.reason).to.equal('answered');
  });

  it('sends no new requests to a draining target and completes its running ones', async () => {
    const running = history.call(catalogueA.daemon.getEntryUrl(), {
      method: 'POST',
      path: '/orders/long?delay=700',
    });
    await waitFor('order to run', () => hasRun(ordersA, '/orders/long'));
    const drained = ordersA.target?.drain();
    // A busy machine takes its time until the target has deregistered.
    await waitFor('target to be deregistered', async () => {
      const {daemon} = ordersA;
      const {instanceId} = daemon.options;
      const members = await daemon.readMembers();
      const self = members.find(member => member.instanceId === instanceId);
      return self?.state !== 'serving' || self.serviceId !== 'orders';
    });
    const runCountBefore = ordersA.target?.runs.length;
    for (let call = 0; call < 20; call += 1) {
      const {result} = await history.call(catalogueA.daemon.getEntryUrl(), {
        method: 'POST',
        path: '/orders/x',
      });
      expect(result.outcome, result.reason).to.equal('answered');
    }
    expect(ordersA.target?.runs.length).to.equal(runCountBefore);
    expect((await running).result.outcome).to.equal('answered');
    await drained;
    expectNoViolations();
  });

  it('stops a daemon gracefully without breaking requests', async () => {
    let isLoadStopped = false;
    const callers = Array.from({length: 8}, async (_, index) => {
      while (!isLoadStopped) {
        const entry = index < 4 ? ordersA : catalogueB;
        const {result} = await history.call(entry.daemon.getEntryUrl(), {
          method: 'POST',
          path: '/orders/x?delay=30',
        });
        // A caller that is told that the daemon is draining uses another one.
        if (result.outcome !== 'answered') return;
      }
    });
    await sleep(300);
    const status = await ordersA.daemon.stop();
    isLoadStopped = true;
    await Promise.all(callers);
    expect(status).to.equal(0);
    const unexpectedReasons = [...history.getReasons().keys()].filter(
      reason => reason !== 'not-run draining',
    );
    expect(unexpectedReasons).to.deep.equal([]);
    expectNoViolations();
  });

  it('does not answer requests for a frozen target, drops it and refuses the next request', async () => {
    await ordersB.target?.kill();
    await mesh.waitForTargets('orders', 1);
    ordersA.target?.signal('SIGSTOP');
    const pending = Array.from({length: 40}, () =>
      history.call(ordersA.daemon.getEntryUrl(), {
        method: 'POST',
        path: '/orders/x',
      }),
    );
    const recorded = await Promise.all(pending);
    expect(
      recorded.every(({result}) => result.outcome !== 'answered'),
    ).to.equal(true);
    await waitFor('target to be dropped', () =>
      ordersA.daemon.getLog().includes('Ended: target-gone'),
    );
    const {result} = await history.call(catalogueA.daemon.getEntryUrl(), {
      method: 'POST',
      path: '/orders/x',
    });
    expect(result.outcome).to.equal('not-run');
    expect((await ordersA.daemon.readStatus())?.target).to.equal(undefined);
    ordersA.target?.signal('SIGCONT');
  });

  it('quarantines a request that crashes every target that runs it', async () => {
    const poison = {method: 'GET' as const, path: '/orders/poison?crash=1'};
    const reasons: string[] = [];
    for (let attempt = 0; attempt < 6; attempt += 1) {
      const {daemon} = attempt % 2 === 0 ? catalogueA : catalogueB;
      const {result} = await history.call(daemon.getEntryUrl(), poison);
      reasons.push(result.reason);
      for (const {target} of [ordersA, ordersB]) {
        if (target?.isRunning() === false) await target.start();
      }
      await mesh.waitForTargets('orders', 2);
    }
    const runs = getTargets().flatMap(target => target.runs);
    expect(runs.filter(run => run.path === poison.path).length).to.equal(2);
    expect(reasons.at(-1)).to.equal('quarantined');
    const {result} = await history.call(catalogueA.daemon.getEntryUrl(), {
      method: 'POST',
      path: '/orders/x',
    });
    expect(result.outcome).to.equal('answered');
  });

  it('routes by the new version right after the daemon was paused', async () => {
    ordersA.daemon.signal('SIGSTOP');
    const version = await mesh.accept([
      RECORD_SCHEMA.parse({
        kind: 'rule',
        id: 'orders',
        serviceId: 'catalogue',
        pathPrefix: '/orders',
      }),
    ]);
    await sleep(6_000);
    ordersA.daemon.signal('SIGCONT');
    await history.call(ordersA.daemon.getEntryUrl(), {
      method: 'POST',
      path: '/orders/after-pause',
    });
    const ranAtOrders = [ordersA, ordersB].some(instance =>
      hasRun(instance, '/orders/after-pause'),
    );
    expect(ranAtOrders).to.equal(false);
    const status = await ordersA.daemon.readStatus();
    expect(status?.version).to.equal(version);
  });

  it('serves requests without an idempotency key during a store outage, refuses one with a key, and applies changes after the outage', async () => {
    mesh.store.setFault({kind: 'down'});
    for (let call = 0; call < 20; call += 1) {
      const {result} = await history.call(catalogueA.daemon.getEntryUrl(), {
        method: 'GET',
        path: '/catalogue/x',
      });
      expect(result.outcome).to.equal('answered');
    }
    const {result: keyed} = await history.call(
      catalogueA.daemon.getEntryUrl(),
      {
        method: 'POST',
        path: '/orders/x',
        body: 'k',
        idempotencyKey: 'k',
      },
    );
    expect(keyed.outcome).to.equal('not-run');
    await sleep(1_000);
    mesh.store.setFault({kind: 'none'});
    const version = await mesh.accept([
      RECORD_SCHEMA.parse({kind: 'owner', id: 'new', contact: 'x'}),
    ]);
    await mesh.waitForVersion(version);
    expectNoViolations();
  });

  it('recovers from the crash of all daemons in a data centre', async () => {
    const killed = [catalogueA, ordersA];
    await Promise.all(killed.map(({daemon}) => daemon.kill()));
    const {result} = await history.call(catalogueB.daemon.getEntryUrl(), {
      method: 'POST',
      path: '/orders/x',
    });
    expect(result.outcome).to.equal('answered');
    const version = await mesh.accept([
      RECORD_SCHEMA.parse({kind: 'owner', id: 'new', contact: 'x'}),
    ]);
    await Promise.all(killed.map(({daemon}) => daemon.start()));
    await mesh.waitForVersion(version);
    await mesh.waitForTargets('orders', 2);
    expectNoViolations();
  });
});

function hasRun(instance: TestInstance, pathPart: string): boolean {
  const runs = instance.target?.runs ?? [];
  return runs.some(({path}) => path.startsWith(pathPart));
}
