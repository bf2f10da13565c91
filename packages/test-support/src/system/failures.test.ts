import {expect} from 'chai';
import {RECORD_SCHEMA} from '@cassiaknot/inventory';
import {CallLedger} from '../call_ledger.js';
import {MeshCaller} from '../call_mesh.js';
import {waitFor} from '../child_processes.js';
import type {TargetProcess} from '../child_processes.js';
import {SMALL_INVENTORY} from '../inventories.js';
import type {InstanceOptions, TestInstance} from '../test_mesh.js';
import {TestMesh} from '../test_mesh.js';
import {pause} from '../pause.js';

const FLEET: readonly InstanceOptions[] = ['lautoka', 'nadi'].flatMap(
  dataCentreId => [
    {instanceId: `${dataCentreId}-c`, dataCentreId, serviceId: 'catalogue'},
    {instanceId: `${dataCentreId}-o`, dataCentreId, serviceId: 'orders'},
  ],
);

describe('Mesh of processes', () => {
  let mesh: TestMesh;
  let caller: MeshCaller;
  let ledger: CallLedger;
  let catalogueA: TestInstance;
  let ordersA: TestInstance;
  let catalogueB: TestInstance;
  let ordersB: TestInstance;

  beforeEach(async () => {
    mesh = new TestMesh();
    caller = new MeshCaller();
    ledger = new CallLedger(caller);
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
    expect(ledger.findViolations(getTargets())).to.deep.equal([]);
  }

  it('gives each caller its own whole answer, late and out of order', async () => {
    const calls = Array.from({length: 300}, (_, index) => {
      const {daemon} = index % 2 === 0 ? catalogueA : ordersB;
      const delayMs = (index * 37) % 120;
      const path = `/orders/x?delay=${delayMs}`;
      return ledger.call(daemon.getEntryUrl(), {method: 'POST', path});
    });
    await Promise.all(calls);
    expectNoViolations();
    expect(ledger.count('cut')).to.equal(0);
    expect(ledger.count('answered')).to.be.above(0);
  });

  it('breaks the connection rather than end a cut answer cleanly', async () => {
    const {answer: short} = await ledger.call(catalogueA.daemon.getEntryUrl(), {
      method: 'POST',
      path: '/orders/x?size=10000&cut=500',
    });
    expect(short.outcome).to.equal('unknown');
    const {answer: long} = await ledger.call(catalogueA.daemon.getEntryUrl(), {
      method: 'POST',
      path: '/orders/x?size=2000000&cut=1000000&chunked',
    });
    expect(long.outcome).to.equal('cut');
  });

  it('passes long answers on whole', async () => {
    const {answer} = await ledger.call(catalogueA.daemon.getEntryUrl(), {
      method: 'GET',
      path: '/catalogue/x?size=3000000',
    });
    expect(answer.outcome).to.equal('answered');
    expect(answer.body.length).to.equal(3_000_000);
  });

  it('gives a draining target no new work and cuts none of its old', async () => {
    const running = ledger.call(catalogueA.daemon.getEntryUrl(), {
      method: 'POST',
      path: '/orders/long?delay=700',
    });
    await waitFor('order runs', () => hasRun(ordersA, '/orders/long'));
    const drained = ordersA.target?.drain();
    await pause(50);
    const before = ordersA.target?.runs.length;
    for (let call = 0; call < 20; call += 1) {
      const {answer} = await ledger.call(catalogueA.daemon.getEntryUrl(), {
        method: 'POST',
        path: '/orders/x',
      });
      expect(answer.outcome, answer.reason).to.equal('answered');
    }
    expect(ordersA.target?.runs.length).to.equal(before);
    expect((await running).answer.outcome).to.equal('answered');
    await drained;
    expectNoViolations();
  });

  it('stops a daemon on request without cutting a request', async () => {
    let isStopped = false;
    const workers = Array.from({length: 8}, async (_, worker) => {
      while (!isStopped) {
        const entry = worker < 4 ? ordersA : catalogueB;
        const {answer} = await ledger.call(entry.daemon.getEntryUrl(), {
          method: 'POST',
          path: '/orders/x?delay=30',
        });
        // Once told that the daemon is leaving, a caller goes elsewhere.
        if (answer.outcome !== 'answered') return;
      }
    });
    await pause(300);
    const status = await ordersA.daemon.stop();
    isStopped = true;
    await Promise.all(workers);
    expect(status).to.equal(0);
    const failed = [...ledger.getReasons().keys()].filter(
      reason => reason !== 'not-run draining',
    );
    expect(failed).to.deep.equal([]);
    expectNoViolations();
  });

  it('refuses what waits behind a frozen target and says so', async () => {
    await ordersB.target?.kill();
    await mesh.waitForTargets('orders', 1);
    ordersA.target?.signal('SIGSTOP');
    const calls = Array.from({length: 40}, () =>
      ledger.call(ordersA.daemon.getEntryUrl(), {
        method: 'POST',
        path: '/orders/x',
      }),
    );
    const entries = await Promise.all(calls);
    expect(entries.every(({answer}) => answer.outcome !== 'answered')).to.equal(
      true,
    );
    await waitFor('target is given up', () =>
      ordersA.daemon.getLog().includes('Ended: target-gone'),
    );
    const {answer} = await ledger.call(catalogueA.daemon.getEntryUrl(), {
      method: 'POST',
      path: '/orders/x',
    });
    expect(answer.outcome).to.equal('not-run');
    expect((await ordersA.daemon.readStatus())?.target).to.equal(undefined);
    ordersA.target?.signal('SIGCONT');
  });

  it('quarantines a request that crashes each target that runs it', async () => {
    const poison = {method: 'GET' as const, path: '/orders/poison?crash=1'};
    const crashed: string[] = [];
    for (let resend = 0; resend < 6; resend += 1) {
      const {daemon} = resend % 2 === 0 ? catalogueA : catalogueB;
      const {answer} = await ledger.call(daemon.getEntryUrl(), poison);
      crashed.push(answer.reason);
      for (const {target} of [ordersA, ordersB]) {
        if (target?.isRunning() === false) await target.start();
      }
      await mesh.waitForTargets('orders', 2);
    }
    const runs = getTargets().flatMap(target => target.runs);
    expect(runs.filter(run => run.path === poison.path).length).to.equal(2);
    expect(crashed.at(-1)).to.equal('quarantined');
    const {answer} = await ledger.call(catalogueA.daemon.getEntryUrl(), {
      method: 'POST',
      path: '/orders/x',
    });
    expect(answer.outcome).to.equal('answered');
  });

  it('routes by the new version at once after a pause', async () => {
    ordersA.daemon.signal('SIGSTOP');
    const version = await mesh.accept([
      RECORD_SCHEMA.parse({
        kind: 'rule',
        id: 'orders',
        serviceId: 'catalogue',
        pathPrefix: '/orders',
      }),
    ]);
    await pause(6_000);
    ordersA.daemon.signal('SIGCONT');
    await ledger.call(ordersA.daemon.getEntryUrl(), {
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

  it('serves through an outage of the store and takes changes after', async () => {
    mesh.store.setFault({kind: 'down'});
    for (let call = 0; call < 20; call += 1) {
      const {answer} = await ledger.call(catalogueA.daemon.getEntryUrl(), {
        method: 'GET',
        path: '/catalogue/x',
      });
      expect(answer.outcome).to.equal('answered');
    }
    const {answer: keyed} = await ledger.call(catalogueA.daemon.getEntryUrl(), {
      method: 'POST',
      path: '/orders/x',
      body: 'k',
      idempotencyKey: 'k',
    });
    expect(keyed.outcome).to.equal('not-run');
    await pause(1_000);
    mesh.store.setFault({kind: 'none'});
    const version = await mesh.accept([
      RECORD_SCHEMA.parse({kind: 'owner', id: 'new', contact: 'x'}),
    ]);
    await mesh.waitForVersion(version);
    expectNoViolations();
  });

  it('comes back as one from the death of a whole data centre', async () => {
    const lost = [catalogueA, ordersA];
    await Promise.all(lost.map(({daemon}) => daemon.kill()));
    const {answer} = await ledger.call(catalogueB.daemon.getEntryUrl(), {
      method: 'POST',
      path: '/orders/x',
    });
    expect(answer.outcome).to.equal('answered');
    const version = await mesh.accept([
      RECORD_SCHEMA.parse({kind: 'owner', id: 'new', contact: 'x'}),
    ]);
    await Promise.all(lost.map(({daemon}) => daemon.start()));
    await mesh.waitForVersion(version);
    await mesh.waitForTargets('orders', 2);
    expectNoViolations();
  });
});

function hasRun(instance: TestInstance, pathPart: string): boolean {
  const runs = instance.target?.runs ?? [];
  return runs.some(({path}) => path.startsWith(pathPart));
}
