/** A small mesh of processes for tests, the demonstration and benchmarks. */

import {
  Backoff,
  SeededRandom,
  commitChange,
  ConfigurationLog,
} from '@cassiaknot/coordination';
import type {InventoryRecord} from '@cassiaknot/inventory';
import {newChange, parseInventory} from '@cassiaknot/inventory';
import {DaemonProcess, TargetProcess, waitFor} from './child_processes.js';
import {StoreStandIn} from './store_stand_in.js';

/** One instance: a daemon and, unless it only enters, a target. */
export interface TestInstance {
  readonly daemon: DaemonProcess;
  readonly target: TargetProcess | undefined;
}

/** What to start on one instance. */
export interface InstanceOptions {
  readonly instanceId: string;
  readonly dataCentreId: string;
  /** Service of the target; none is started without. */
  readonly serviceId?: string;
  readonly slots?: number;
  readonly warmUpMs?: number;
  readonly overrides?: readonly string[];
}

const DEFAULT_SLOTS = 10;
const CONNECTIONS = 100;
const ANNOUNCE_MS = 300;

/** A store stand-in with instances around it. */
export class TestMesh {
  readonly store = new StoreStandIn();
  readonly instances: TestInstance[] = [];

  /** Starts the store. */
  async start(): Promise<void> {
    await this.store.start();
  }

  /** Starts an instance and waits until it routes requests. */
  async addInstance(options: InstanceOptions): Promise<TestInstance> {
    const instance = await this.launchInstance(options);
    await instance.daemon.waitUntilReady();
    await instance.target?.start();
    return instance;
  }

  /** Starts several instances at once. */
  async addInstances(all: readonly InstanceOptions[]): Promise<TestInstance[]> {
    return Promise.all(all.map(options => this.addInstance(options)));
  }

  /** Accepts records as an operator would; returns the version. */
  async accept(
    puts: readonly InventoryRecord[],
    author = 'operator',
  ): Promise<number> {
    const log = new ConfigurationLog(this.store.memory);
    const {head} = (await log.readHead()).unwrap();
    const receipt = await commitChange(newChange(author, head.version, puts), {
      store: this.store.memory,
      backoff: newTestBackoff(),
      maxAttempts: 10,
    });
    return receipt.unwrap().version;
  }

  /** Accepts an inventory in INI form. */
  async acceptInventory(text: string): Promise<number> {
    const records = parseInventory(text).unwrap();
    return this.accept([...records.values()]);
  }

  /** Waits until every daemon has a version in force. */
  async waitForVersion(version: number): Promise<void> {
    for (const {daemon} of this.instances) {
      const name = `${daemon.options.instanceId} at version ${version}`;
      await waitFor(name, async () => {
        const status = await daemon.readStatus();
        return (status?.version ?? 0) >= version;
      });
    }
  }

  /** Waits until every daemon sees so many targets of a service. */
  async waitForTargets(serviceId: string, count: number): Promise<void> {
    for (const {daemon} of this.instances) {
      const name = `${daemon.options.instanceId} sees ${count} ${serviceId}`;
      await waitFor(name, async () => {
        const members = await daemon.readMembers();
        const serving = members.filter(
          member =>
            member.serviceId === serviceId && member.state === 'serving',
        );
        return serving.length === count;
      });
    }
  }

  /** Ends everything that was started. */
  async stop(): Promise<void> {
    await Promise.all(
      this.instances.map(async ({daemon, target}) => {
        await target?.kill();
        await daemon.kill();
        await daemon.remove();
      }),
    );
    await this.store.stop();
  }

  private async launchInstance(
    options: InstanceOptions,
  ): Promise<TestInstance> {
    const {instanceId, dataCentreId, serviceId, overrides = []} = options;
    const storeUrl = this.store.getUrl();
    const daemon = await DaemonProcess.prepare({
      instanceId,
      dataCentreId,
      storeUrl,
      overrides,
    });
    const target =
      serviceId === undefined
        ? undefined
        : new TargetProcess({
            serviceId,
            slots: options.slots ?? DEFAULT_SLOTS,
            connections: CONNECTIONS,
            warmUpMs: options.warmUpMs ?? 0,
            operatorUrl: daemon.getOperatorUrl(),
            announceMs: ANNOUNCE_MS,
          });
    const instance = {daemon, target};
    this.instances.push(instance);
    await daemon.launch();
    return instance;
  }
}

/** A short backoff for tests. */
export function newTestBackoff(seed = 1): Backoff {
  const options = {minDelayMs: 1, maxDelayMs: 20};
  return new Backoff(options, new SeededRandom(seed));
}
