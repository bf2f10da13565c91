/** A small deployment on loopback addresses, and the frame of a case. */

import {appendFileSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Endpoint} from './endpoint.mjs';
import {Machine, PORTS} from './machine.mjs';
import {Store} from './store.mjs';

/** Exit statuses of a case. */
const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;
/** A case runs for 120 seconds at most; this leaves time to clean up. */
const CASE_LIMIT_MS = 110_000;
/** Longer than the interval between two heartbeats of an endpoint. */
const SETTLE_MS = 2_000;

/** Whether the case includes its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

export const sleep = delayMs =>
  new Promise(resolve => setTimeout(resolve, delayMs));

/** Limits of a configuration, as `fleetbench wire` shows them. */
export const LIMITS = {
  MaxHeaderBytes: 16_384,
  MaxBodyBytes: 67_108_864,
  HeaderTimeoutMs: 3_000,
  IdleTimeoutMs: 15_000,
};

/**
 * Formats a configuration with one route for each entry of `routes`. The host and
 * the path prefix are named after the route, or after its service.
 */
export function formatConfiguration(version, routes) {
  const names = new Set(routes.map(({service}) => service));
  return JSON.stringify({
    Version: version,
    Services: [...names].map(Name => ({
      Name,
      HealthPath: '/health',
      MaxConnections: 110,
      Protocol: 'h1',
      Tls: false,
    })),
    Limits: LIMITS,
    VirtualHosts: routes.map(route => ({
      Host: `${route.name ?? route.service}.example`,
      Paths: [
        {
          Name: `r-${route.name ?? route.service}`,
          PathPrefix: `/${route.name ?? route.service}/`,
          RouteType: route.type,
          TimeoutMs: route.timeoutMs,
          TargetLatencyMs: route.objectiveMs,
          Priority: route.priority ?? 1,
          Service: route.service,
          MaxAttempts: 2,
        },
      ],
    })),
  });
}

/** Returns a free block of loopback addresses, `127.a.b.`. */
async function findAddressBlock() {
  const ports = Object.values(PORTS).flat();
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const block = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}.`;
    const areFree = await Promise.all(
      ports.map(port => isFree(`${block}11`, port)),
    );
    if (areFree.every(Boolean)) return block;
  }
  throw new Error('no free loopback addresses');
}

function isFree(host, port) {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** The processes and stand-ins of one case, and its record. */
export class Case {
  constructor(folder) {
    this.recordPath = join(folder, 'record.txt');
    this.directory = mkdtempSync(join(tmpdir(), 'review-case-'));
    this.machines = [];
    this.endpoints = [];
    this.startMs = performance.now();
    writeFileSync(this.recordPath, `trouble: ${HAS_TROUBLE ? 'yes' : 'no'}\n`);
  }

  write(text) {
    const seconds = ((performance.now() - this.startMs) / 1_000).toFixed(3);
    appendFileSync(this.recordPath, `${seconds} ${text}\n`);
  }

  /**
   * Starts the store and one machine for each entry of `services`. `newPath` puts a
   * proxy between the machines and the store.
   */
  async startMachines(services, configuration, newPath) {
    const block = await findAddressBlock();
    this.store = new Store();
    await this.store.listen(`${block}10`);
    this.store.putText('op/config', configuration);
    let storeAddress = this.store.address;
    if (newPath) {
      const [host, port] = storeAddress.split(':');
      this.path = newPath({host, port: Number(port)});
      await this.path.listen(host);
      storeAddress = this.path.address;
    }
    const zones = ['lautoka-a', 'nadi-b'];
    for (const [index, service] of services.entries()) {
      const machine = new Machine({
        name: `sidecar-${index + 1}`,
        ip: `${block}${11 + index}`,
        zone: zones[index % zones.length],
        zones,
        service,
        storeAddress,
        directory: this.directory,
      });
      machine.onExit = (code, signal) =>
        this.write(`${machine.name} ended: code ${code}, signal ${signal}`);
      this.machines.push(machine);
      await machine.start();
    }
  }

  /**
   * Starts an endpoint beside each machine, and waits until all machines are ready
   * and know the endpoints.
   */
  async startEndpoints(handle) {
    for (const machine of this.machines) {
      const {service, zone} = machine.options;
      const endpoint = new Endpoint({machine, service, zone, handle});
      this.endpoints.push(endpoint);
      await endpoint.start();
    }
    await this.whenAllReady();
    await sleep(SETTLE_MS);
  }

  async whenAllReady() {
    for (const machine of this.machines) {
      if (!(await machine.whenReady())) {
        throw new Error(`${machine.name} did not become ready`);
      }
    }
  }

  stop() {
    for (const machine of this.machines) machine.stop();
    for (const endpoint of this.endpoints) endpoint.crash();
    this.path?.close();
    this.store?.close();
    if (process.env.KEEP_LOGS) process.stderr.write(`${this.directory}\n`);
    else rmSync(this.directory, {recursive: true, force: true});
  }
}

/**
 * Runs a case. `body(review)` returns a text for each breach of the rule, none if
 * it held; it throws if the case could not run.
 */
export async function runCase(folder, body) {
  const review = new Case(folder);
  const limit = new Promise((_resolve, reject) => {
    setTimeout(() => reject(new Error('time limit')), CASE_LIMIT_MS).unref();
  });
  let status = NOT_RUN;
  const finish = () => {
    review.stop();
    process.exit(status);
  };
  process.on('SIGTERM', finish);
  process.on('SIGINT', finish);
  process.on('uncaughtException', error => {
    review.write(`not run: ${error.stack}`);
    status = NOT_RUN;
    finish();
  });
  try {
    const breaches = await Promise.race([body(review), limit]);
    for (const breach of breaches) review.write(`BROKEN ${breach}`);
    status = breaches.length > 0 ? BROKEN : HELD;
    review.write(
      `result: ${breaches.length > 0 ? 'rule broken' : 'rule held'}`,
    );
  } catch (error) {
    review.write(`not run: ${error.stack}`);
  }
  finish();
}
