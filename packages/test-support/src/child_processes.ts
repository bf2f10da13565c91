/** Processes of the mesh, started and ended by tests and benchmarks. */

import type {ChildProcess} from 'node:child_process';
import {fork, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import type {DaemonStatus, MemberStatus} from '@cassiaknot/daemon';
import type {
  TargetRun,
  TargetStandInOptions,
} from './targets/target_stand_in.js';
import {pause} from './pause.js';

/** How a daemon process is set up. */
export interface DaemonProcessOptions {
  readonly instanceId: string;
  readonly dataCentreId: string;
  readonly storeUrl: string;
  /** Extra settings as `section.name=value`. */
  readonly overrides: readonly string[];
}

/** Ports of one daemon. */
export interface DaemonPorts {
  readonly entry: number;
  readonly gate: number;
  readonly peer: number;
  readonly operator: number;
}

const DAEMON_MAIN = join(
  fileURLToPath(new URL('.', import.meta.url)),
  '../../daemon/dist/bin/cassiaknotd.js',
);
const TARGET_MAIN = fileURLToPath(
  new URL('./targets/target_main.js', import.meta.url),
);
const FIRST_PORT = 15_000;
const PORT_COUNT = 16_000;
const PORT_STRIDE = 97;
const POLL_MS = 20;
const START_TIMEOUT_MS = 15_000;

// Runs side by side begin at different ports.
let nextPortOffset = process.pid * PORT_STRIDE;

/** One `cassiaknotd` process. */
export class DaemonProcess {
  readonly ports: DaemonPorts;
  private child: ChildProcess | undefined;
  private stderr = '';

  private constructor(
    readonly options: DaemonProcessOptions,
    ports: DaemonPorts,
    private readonly directory: string,
  ) {
    this.ports = ports;
  }

  /** Prepares a daemon with fresh ports; it does not run yet. */
  static async prepare(options: DaemonProcessOptions): Promise<DaemonProcess> {
    const [entry = 0, gate = 0, peer = 0, operator = 0] = await findPorts(4);
    const directory = await mkdtemp(join(tmpdir(), 'cassiaknot-'));
    const ports = {entry, gate, peer, operator};
    return new DaemonProcess(options, ports, directory);
  }

  /** Starts the process without waiting for it. */
  async launch(): Promise<void> {
    const path = join(this.directory, 'cassiaknotd.ini');
    await writeFile(path, this.formatSettings());
    const overrides = this.options.overrides.flatMap(text => ['--set', text]);
    const args = [DAEMON_MAIN, '--config', path, ...overrides];
    const child = spawn(process.execPath, args, {
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    child.stderr.on('data', (chunk: Buffer) => {
      this.stderr += chunk.toString('utf8');
    });
    this.child = child;
  }

  /** Starts the process and waits until it routes requests. */
  async start(): Promise<void> {
    await this.launch();
    await this.waitUntilReady();
  }

  /** Waits until the daemon routes requests. */
  async waitUntilReady(): Promise<void> {
    await waitFor(`${this.options.instanceId} ready`, async () => {
      const status = await this.readStatus();
      return status?.isReady === true;
    });
  }

  /** Base URL for callers. */
  getEntryUrl(): string {
    return `http://127.0.0.1:${this.ports.entry}`;
  }

  /** Base URL for operators and the target. */
  getOperatorUrl(): string {
    return `http://127.0.0.1:${this.ports.operator}`;
  }

  /** Everything the process has logged. */
  getLog(): string {
    return this.stderr;
  }

  /** Whether the process runs. */
  isRunning(): boolean {
    return isRunning(this.child);
  }

  /** Reads the daemon's status; undefined while it does not answer. */
  async readStatus(): Promise<DaemonStatus | undefined> {
    const text = await readPage(`${this.getOperatorUrl()}/v1/status`);
    return text === undefined ? undefined : (JSON.parse(text) as DaemonStatus);
  }

  /** Reads the members as the daemon sees them. */
  async readMembers(): Promise<MemberStatus[]> {
    const text = await readPage(`${this.getOperatorUrl()}/v1/members`);
    return text === undefined ? [] : (JSON.parse(text) as MemberStatus[]);
  }

  /** Reads the daemon's counters. */
  async readMetrics(): Promise<string> {
    return (await readPage(`${this.getOperatorUrl()}/metrics`)) ?? '';
  }

  /** Sends a signal to the process. */
  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Ends the process at once. */
  async kill(): Promise<void> {
    await endChild(this.child, 'SIGKILL');
  }

  /** Asks the process to stop; returns its exit status. */
  async stop(): Promise<number | null> {
    return endChild(this.child, 'SIGTERM');
  }

  /** Removes the settings file. */
  async remove(): Promise<void> {
    await rm(this.directory, {recursive: true, force: true});
  }

  private formatSettings(): string {
    const {instanceId, dataCentreId, storeUrl} = this.options;
    const {entry, gate, operator, peer} = this.ports;
    return [
      '[daemon]',
      `instance_id = ${instanceId}`,
      `data_centre = ${dataCentreId}`,
      'drain_ms = 500',
      '[ports]',
      `entry = ${entry}`,
      `gate = ${gate}`,
      `peer = ${peer}`,
      `operator = ${operator}`,
      '[platform]',
      `url = ${storeUrl}`,
    ].join('\n');
  }
}

/** One target process. */
export class TargetProcess {
  readonly runs: TargetRun[] = [];
  private child: ChildProcess | undefined;

  constructor(private readonly options: TargetStandInOptions) {}

  /** Starts the process and waits for its first announcement. */
  async start(): Promise<void> {
    const child = fork(TARGET_MAIN, [JSON.stringify(this.options)]);
    this.child = child;
    child.on('message', message => this.receive(message));
    await once(child, 'message');
  }

  /** Whether the process runs. */
  isRunning(): boolean {
    return isRunning(this.child);
  }

  /** Sends a signal to the process. */
  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Ends the process at once. */
  async kill(): Promise<void> {
    await endChild(this.child, 'SIGKILL');
  }

  /** Lets the target withdraw from its daemon and waits for its exit. */
  async drain(): Promise<void> {
    const {child} = this;
    if (!child) return;
    child.send('drain');
    await once(child, 'exit');
  }

  private receive(message: unknown): void {
    if (!isRunMessage(message)) return;
    this.runs.push(message.run);
  }
}

/** Polls until a condition holds; fails with its name after a limit. */
export async function waitFor(
  name: string,
  condition: () => Promise<boolean> | boolean,
  timeoutMs = START_TIMEOUT_MS,
): Promise<void> {
  const endsAtMs = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > endsAtMs) throw new Error(`Waited for: ${name}`);
    await pause(POLL_MS);
  }
}

/**
 * Finds ports below the range from which the system takes those of outgoing
 * connections: such a one could be taken while a daemon restarts.
 */
async function findPorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = FIRST_PORT + (nextPortOffset % PORT_COUNT);
    nextPortOffset += 1;
    if (await isFreePort(port)) ports.push(port);
  }
  return ports;
}

async function isFreePort(port: number): Promise<boolean> {
  const server = createServer();
  try {
    server.listen(port, '127.0.0.1');
    await once(server, 'listening');
  } catch {
    return false;
  }
  server.close();
  await once(server, 'close');
  return true;
}

async function readPage(url: string): Promise<string | undefined> {
  try {
    const answer = await request(url, {signal: AbortSignal.timeout(2_000)});
    return await answer.body.text();
  } catch {
    return undefined;
  }
}

function isRunning(child: ChildProcess | undefined): boolean {
  return child?.exitCode === null && child.signalCode === null;
}

async function endChild(
  child: ChildProcess | undefined,
  signal: NodeJS.Signals,
): Promise<number | null> {
  if (!child) return null;
  if (!isRunning(child)) return child.exitCode;
  const exit = once(child, 'exit');
  child.kill(signal);
  await exit;
  return child.exitCode;
}

interface RunMessage {
  readonly kind: 'run';
  readonly run: TargetRun;
}

function isRunMessage(message: unknown): message is RunMessage {
  if (message === null || typeof message !== 'object') return false;
  return 'kind' in message && message.kind === 'run';
}
