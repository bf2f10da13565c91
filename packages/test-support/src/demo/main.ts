/**
 * The demonstration behind `npm start`: a mesh of two data centres on embedded
 * stand-ins serves requests through a change, a crash and a planned stop.
 */

import {randomUUID} from 'node:crypto';
import {RECORD_SCHEMA} from '@cassiaknot/inventory';
import {CallLedger} from '../call_ledger.js';
import {MeshCaller} from '../call_mesh.js';
import type {TargetProcess} from '../child_processes.js';
import {SMALL_INVENTORY} from '../inventories.js';
import {TestMesh} from '../test_mesh.js';
import {pause} from '../pause.js';

const INSTANCES = ['lautoka', 'nadi'].flatMap(dataCentreId =>
  ['catalogue', 'orders'].map(serviceId => ({
    instanceId: `${dataCentreId}-${serviceId}`,
    dataCentreId,
    serviceId,
  })),
);
const CALLS_PER_STEP = 200;
const CALL_GAP_MS = 5;

const mesh = new TestMesh();
const caller = new MeshCaller();
const ledger = new CallLedger(caller);
process.on('SIGINT', () => void end(1));
try {
  await startMesh();
  await serveCalls('Served calls through all entries');
  await changeConfiguration();
  await crashTarget();
  await stopDaemon();
  await end(reportPromises() ? 0 : 1);
} catch (error) {
  print(`Failed: ${String(error)}`);
  await end(1);
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
    print(`  ${instanceId}: callers ${daemon.getEntryUrl()}`);
  }
}

async function serveCalls(title: string): Promise<void> {
  const answeredBefore = ledger.count('answered');
  const calls = [];
  for (let index = 0; index < CALLS_PER_STEP; index += 1) {
    calls.push(callNextEntry(index));
    await pause(CALL_GAP_MS);
  }
  await Promise.all(calls);
  const answered = ledger.count('answered') - answeredBefore;
  print(`${title}: ${answered} of ${calls.length} answered.`);
}

/** Calls one entry, or the next where one has left and takes no connection. */
async function callNextEntry(index: number): Promise<void> {
  const isOrder = index % 3 === 0;
  const call = {
    method: isOrder ? ('POST' as const) : ('GET' as const),
    path: isOrder ? '/orders/mould' : '/catalogue/mould',
    ...(isOrder ? {idempotencyKey: randomUUID()} : {}),
  };
  for (let offset = 0; offset < mesh.instances.length; offset += 1) {
    const instance = mesh.instances[(index + offset) % mesh.instances.length];
    const entryUrl = instance?.daemon.getEntryUrl() ?? '';
    const {answer} = await ledger.call(entryUrl, call);
    if (!hasLeft(answer.reason)) return;
  }
}

function hasLeft(reason: string): boolean {
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
  const [, first] = mesh.instances;
  await first?.target?.kill();
  print('Killed the target of lautoka-orders.');
  await serveCalls('Served calls without it');
}

async function stopDaemon(): Promise<void> {
  const [first] = mesh.instances;
  const calls = serveCalls('Served calls during a planned stop');
  const status = await first?.daemon.stop();
  await calls;
  print(`Stopped lautoka-catalogue with status ${status}.`);
  await serveCalls('Served calls after it');
}

function reportPromises(): boolean {
  const targets = mesh.instances.flatMap(({target}) => target ?? []);
  const violations = ledger.findViolations(targets satisfies TargetProcess[]);
  for (const [reason, count] of ledger.getReasons()) {
    const note = hasLeft(reason) ? ' (the next entry was called)' : '';
    print(`  not answered: ${reason}: ${count}${note}`);
  }
  print(
    `${ledger.entries.length} calls, ${ledger.count('answered')} answered, ` +
      `${violations.length} broken promises.`,
  );
  return violations.length === 0;
}

async function end(status: number): Promise<void> {
  await caller.close();
  await mesh.stop();
  process.exit(status);
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
