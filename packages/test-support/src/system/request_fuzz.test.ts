import {SeededRandom, pickRandom} from '@cassiaknot/coordination';
import {expect} from 'chai';
import fc from 'fast-check';
import {CallLedger} from '../call_ledger.js';
import {MeshCaller} from '../call_mesh.js';
import type {TargetProcess} from '../child_processes.js';
import {SMALL_INVENTORY} from '../inventories.js';
import type {TestInstance} from '../test_mesh.js';
import {TestMesh} from '../test_mesh.js';
import {pause} from '../pause.js';

const SEED = 20261204;
const WORKERS = 12;
const MAX_COMMANDS = 24;
const PATHS = [
  '/catalogue/a',
  '/catalogue/a?delay=20',
  '/catalogue/a?size=20000',
  '/orders/a',
  '/orders/a?delay=20',
];

interface Model {
  commandCount: number;
}

/** A mesh under load, with what its targets ran. */
class LoadedMesh {
  readonly targets = new Set<TargetProcess>();
  private isStopping = false;
  private readonly workers: Array<Promise<void>> = [];

  constructor(
    readonly mesh: TestMesh,
    readonly ledger: CallLedger,
  ) {
    for (const {target} of mesh.instances) {
      if (target) this.targets.add(target);
    }
  }

  startLoad(): void {
    for (let worker = 0; worker < WORKERS; worker += 1) {
      this.workers.push(this.work(worker));
    }
  }

  async stopLoad(): Promise<void> {
    this.isStopping = true;
    await Promise.all(this.workers);
  }

  getInstance(index: number): TestInstance {
    const instance = this.mesh.instances[index % this.mesh.instances.length];
    if (!instance) throw new Error('The mesh is empty');
    return instance;
  }

  /** A worker of a shop: it sends its orders again until it has an answer. */
  private async work(worker: number): Promise<void> {
    const random = new SeededRandom(SEED + worker);
    for (let round = 0; !this.isStopping; round += 1) {
      const path = pickRandom(random, PATHS) ?? '/';
      const {daemon} = this.getInstance(Math.floor(random.next() * 100));
      if (path.startsWith('/catalogue')) {
        await this.ledger.call(daemon.getEntryUrl(), {method: 'GET', path});
      } else if (random.next() < 0.5) {
        await this.ledger.call(daemon.getEntryUrl(), {method: 'POST', path});
      } else {
        await this.sendWithKey(`k${worker}-${round}`, path, random);
      }
      await pause(5);
    }
  }

  private async sendWithKey(
    key: string,
    path: string,
    random: SeededRandom,
  ): Promise<void> {
    for (let resend = 0; resend < 3; resend += 1) {
      const {daemon} = this.getInstance(Math.floor(random.next() * 100));
      const {answer} = await this.ledger.call(daemon.getEntryUrl(), {
        method: 'POST',
        path,
        body: key,
        idempotencyKey: key,
      });
      if (answer.outcome === 'answered') return;
      await pause(20);
    }
  }
}

abstract class MeshCommand implements fc.AsyncCommand<Model, LoadedMesh> {
  constructor(
    protected readonly index: number,
    private readonly waitMs: number,
  ) {}

  check(): boolean {
    return true;
  }

  async run(model: Model, loaded: LoadedMesh): Promise<void> {
    model.commandCount += 1;
    await this.act(loaded);
    await pause(this.waitMs);
  }

  toString(): string {
    return `${this.constructor.name}(${this.index}, ${this.waitMs})`;
  }

  protected abstract act(loaded: LoadedMesh): Promise<void> | void;
}

class KillTarget extends MeshCommand {
  protected async act(loaded: LoadedMesh): Promise<void> {
    await loaded.getInstance(this.index).target?.kill();
  }
}

class StartTarget extends MeshCommand {
  protected async act(loaded: LoadedMesh): Promise<void> {
    const {target} = loaded.getInstance(this.index);
    if (target?.isRunning() === false) await target.start();
  }
}

class DrainTarget extends MeshCommand {
  protected async act(loaded: LoadedMesh): Promise<void> {
    const {daemon, target} = loaded.getInstance(this.index);
    const status = await daemon.readStatus();
    if (target?.isRunning() && status) await target.drain();
  }
}

class FreezeTarget extends MeshCommand {
  protected async act(loaded: LoadedMesh): Promise<void> {
    const {target} = loaded.getInstance(this.index);
    target?.signal('SIGSTOP');
    await pause(300);
    target?.signal('SIGCONT');
  }
}

class KillDaemon extends MeshCommand {
  protected async act(loaded: LoadedMesh): Promise<void> {
    const {daemon} = loaded.getInstance(this.index);
    await daemon.kill();
    await daemon.launch();
  }
}

class FreezeDaemon extends MeshCommand {
  protected async act(loaded: LoadedMesh): Promise<void> {
    const {daemon} = loaded.getInstance(this.index);
    daemon.signal('SIGSTOP');
    await pause(2_500);
    daemon.signal('SIGCONT');
  }
}

class StoreDown extends MeshCommand {
  protected act(loaded: LoadedMesh): void {
    loaded.mesh.store.setFault({kind: 'down'});
  }
}

class StoreLosesAnswers extends MeshCommand {
  protected act(loaded: LoadedMesh): void {
    loaded.mesh.store.setFault({kind: 'lose-answers'});
  }
}

class StoreUp extends MeshCommand {
  protected act(loaded: LoadedMesh): void {
    loaded.mesh.store.setFault({kind: 'none'});
  }
}

class CrashingRequest extends MeshCommand {
  protected async act(loaded: LoadedMesh): Promise<void> {
    const {daemon} = loaded.getInstance(this.index);
    await loaded.ledger.call(daemon.getEntryUrl(), {
      method: 'POST',
      path: `/orders/poison?crash=${this.index}`,
    });
  }
}

const COMMANDS = [
  KillTarget,
  StartTarget,
  StartTarget,
  StartTarget,
  DrainTarget,
  FreezeTarget,
  KillDaemon,
  FreezeDaemon,
  StoreDown,
  StoreLosesAnswers,
  StoreUp,
  StoreUp,
  CrashingRequest,
].map(Class =>
  fc
    .tuple(fc.nat(5), fc.constantFrom(50, 200, 600))
    .map(([index, waitMs]) => new Class(index, waitMs)),
);

describe('Mesh under load', () => {
  it('keeps every promise to callers through kills, freezes and outages', async function () {
    this.timeout(240_000);
    await fc.assert(
      fc.asyncProperty(
        fc.commands(COMMANDS, {maxCommands: MAX_COMMANDS, size: 'max'}),
        async commands => {
          const mesh = new TestMesh();
          const caller = new MeshCaller();
          try {
            const loaded = await startLoadedMesh(mesh, caller);
            const setup = () => ({model: {commandCount: 0}, real: loaded});
            await fc.asyncModelRun(setup, commands);
            await checkLoadedMesh(loaded);
          } finally {
            await caller.close();
            await mesh.stop();
          }
        },
      ),
      {seed: SEED, numRuns: 3, endOnFailure: true},
    );
  });
});

async function startLoadedMesh(
  mesh: TestMesh,
  caller: MeshCaller,
): Promise<LoadedMesh> {
  await mesh.start();
  await mesh.acceptInventory(SMALL_INVENTORY);
  await mesh.addInstances(
    ['lautoka', 'nadi'].flatMap(dataCentreId =>
      ['catalogue', 'orders', 'orders'].map((serviceId, index) => ({
        instanceId: `${dataCentreId}-${index}`,
        dataCentreId,
        serviceId,
      })),
    ),
  );
  await mesh.waitForTargets('orders', 4);
  const loaded = new LoadedMesh(mesh, new CallLedger(caller));
  loaded.startLoad();
  return loaded;
}

/** After all faults: promises held, and the mesh serves everything again. */
async function checkLoadedMesh(loaded: LoadedMesh): Promise<void> {
  const {ledger, mesh} = loaded;
  mesh.store.setFault({kind: 'none'});
  for (const {daemon, target} of mesh.instances) {
    await daemon.waitUntilReady();
    if (target?.isRunning() === false) await target.start();
  }
  await mesh.waitForTargets('orders', 4);
  await mesh.waitForTargets('catalogue', 2);
  await loaded.stopLoad();
  expect(ledger.findViolations([...loaded.targets])).to.deep.equal([]);
  expect(ledger.count('answered')).to.be.above(0);
  for (const {daemon} of mesh.instances) {
    const {answer} = await ledger.call(daemon.getEntryUrl(), {
      method: 'POST',
      path: '/orders/after',
    });
    expect(answer.outcome, answer.reason).to.equal('answered');
  }
}
