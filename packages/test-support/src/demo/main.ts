/**
 * Demo run by `npm start`: a mesh of two data centres, with a fake store and fake
 * targets, serves requests through a configuration change, a crash of a target
 * and a graceful stop of a daemon.
 */

import {randomUUID} from 'node:crypto';
import {RECORD_SCHEMA} from '@cassiaknot/inventory';
import {CallHistory} from '../call_history.js';
import {MeshCaller} from '../mesh_caller.js';
import type {TargetProcess} from '../child_processes.js';
import {SMALL_INVENTORY} from '../inventories.js';
import {TestMesh} from '../test_mesh.js';
import {sleep} from '../sleep.js';

const INSTANCES = ['lautoka', 'nadi'].flatMap(dataCentreId =>
  ['catalogue', 'orders'].map(serviceId => ({
    instanceId: `${dataCentreId}-${serviceId}`,
    dataCentreId,
    serviceId,
  })),
);
const CALLS_PER_STEP = 200;
const CALL_INTERVAL_MS = 5;

const mesh = new TestMesh();
const caller = new MeshCaller();
const history = new CallHistory(caller);
process.on('SIGINT', () => void exit(1));
try {
  await startMesh();
  await serveCalls('Calls through all entries');
  await changeConfiguration();
  await crashTarget();
  await stopDaemon();
  await exit(reportViolations() ? 0 : 1);
} catch (error) {
  print(`Demo failed: ${String(error)}`);
  await exit(1);
}

async function startMesh(): Promise<void> {
  await mesh.start();
  const version = await mesh.acceptInventory(SMALL_INVENTORY);
  print(`Accepted the inventory as version ${version}.`);
  await mesh.addInstances(INSTANCES);
  await mesh.waitForTargets('catalogue', 2);
  await mesh.waitForTargets('orders', 2);
  for (const {daemon} of mesh.instances) {
    const {instanceId} = daemon.options;
    print(`  ${instanceId}: entry at ${daemon.getEntryUrl()}`);
  }
}

async function serveCalls(title: string): Promise<void> {
  const answeredBefore = history.count('answered');
  const calls = [];
  for (let index = 0; index < CALLS_PER_STEP; index += 1) {
    calls.push(callWithFailover(index));
    await sleep(CALL_INTERVAL_MS);
  }
  await Promise.all(calls);
  const answered = history.count('answered') - answeredBefore;
  print(`${title}: ${answered} of ${calls.length} answered.`);
}

/** Calls an entry, and the next ones while entries are draining or stopped. */
async function callWithFailover(index: number): Promise<void> {
  const isOrderCall = index % 3 === 0;
  const call = {
    method: isOrderCall ? ('POST' as const) : ('GET' as const),
    path: isOrderCall ? '/orders/mould' : '/catalogue/mould',
    ...(isOrderCall ? {idempotencyKey: randomUUID()} : {}),
  };
  for (let offset = 0; offset < mesh.instances.length; offset += 1) {
    const instance = mesh.instances[(index + offset) % mesh.instances.length];
    const entryUrl = instance?.daemon.getEntryUrl() ?? '';
    const {result} = await history.call(entryUrl, call);
    if (!isEntryUnavailable(result.reason)) return;
  }
}

function isEntryUnavailable(reason: string): boolean {
  return reason.includes('ECONNREFUSED') || reason.includes('draining');
}

async function changeConfiguration(): Promise<void> {
  const startedAtMs = performance.now();
  const version = await mesh.accept([
    RECORD_SCHEMA.parse({
      kind: 'rule',
      id: 'schedule',
      serviceId: 'catalogue',
      pathPrefix: '/schedule',
    }),
  ]);
  await mesh.waitForVersion(version);
  const elapsedMs = Math.round(performance.now() - startedAtMs);
  print(`Version ${version} is in force everywhere after ${elapsedMs} ms.`);
}

async function crashTarget(): Promise<void> {
  const [, instance] = mesh.instances;
  await instance?.target?.kill();
  print('Killed the target of lautoka-orders.');
  await serveCalls('Calls without that target');
}

async function stopDaemon(): Promise<void> {
  const [instance] = mesh.instances;
  const calls = serveCalls('Calls during the graceful stop of a daemon');
  const status = await instance?.daemon.stop();
  await calls;
  print(`Stopped lautoka-catalogue with exit status ${status}.`);
  await serveCalls('Calls after the stop');
}

function reportViolations(): boolean {
  const targets = mesh.instances.flatMap(({target}) => target ?? []);
  const violations = history.findViolations(targets satisfies TargetProcess[]);
  for (const [reason, count] of history.getReasons()) {
    const note = isEntryUnavailable(reason)
      ? ' (retried at the next entry)'
      : '';
    print(`  not answered: ${reason}: ${count}${note}`);
  }
  print(
    `${history.calls.length} calls, ${history.count('answered')} answered, ` +
      `${violations.length} broken promises.`,
  );
  return violations.length === 0;
}

async function exit(status: number): Promise<void> {
  await caller.close();
  await mesh.stop();
  process.exit(status);
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
