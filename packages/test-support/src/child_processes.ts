/** Daemon and target processes that tests and benchmarks start and stop. */

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
import type {TargetRun, FakeTargetOptions} from './targets/fake_target.js';
import {sleep} from './sleep.js';

/** Settings of a daemon process. */
export interface DaemonProcessOptions {
  readonly instanceId: string;
  readonly dataCentreId: string;
  readonly storeUrl: string;
  /** Additional settings as `section.name=value`. */
  readonly overrides: readonly string[];
}

/** Listening ports of one daemon. */
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
  new URL('./targets/fake_target_main.js', import.meta.url),
);
/** Ports to search for free ones: this and the `PORT_COUNT - 1` after it. */
const FIRST_PORT = 15_000;
const PORT_COUNT = 16_000;
const PORT_STRIDE_PER_PROCESS = 97;
const POLL_INTERVAL_MS = 20;
const WAIT_TIMEOUT_MS = 15_000;

// Concurrent test runs start their search at different ports.
let nextPortOffset = process.pid * PORT_STRIDE_PER_PROCESS;

/** A `cassiaknotd` process with its own ports and settings file. */
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

  /** Allocates ports and a directory for a daemon without starting it. */
  static async prepare(options: DaemonProcessOptions): Promise<DaemonProcess> {
    const [entry = 0, gate = 0, peer = 0, operator = 0] =
      await findFreePorts(4);
    const directory = await mkdtemp(join(tmpdir(), 'cassiaknot-'));
    const ports = {entry, gate, peer, operator};
    return new DaemonProcess(options, ports, directory);
  }

  /** Starts the process without waiting until it is ready. */
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

  /** Starts the process and waits until it reports that it is ready. */
  async start(): Promise<void> {
    await this.launch();
    await this.waitUntilReady();
  }

  /** Waits until the daemon reports that it is ready. */
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

  /** Base URL of the operator API, which the target uses too. */
  getOperatorUrl(): string {
    return `http://127.0.0.1:${this.ports.operator}`;
  }

  /** Everything that the process has written to stderr, across restarts. */
  getLog(): string {
    return this.stderr;
  }

  isRunning(): boolean {
    return isRunning(this.child);
  }

  /** Reads the daemon's status; `undefined` if it does not respond. */
  async readStatus(): Promise<DaemonStatus | undefined> {
    const text = await fetchText(`${this.getOperatorUrl()}/v1/status`);
    return text === undefined ? undefined : (JSON.parse(text) as DaemonStatus);
  }

  /** Reads the members that the daemon knows; empty if it does not respond. */
  async readMembers(): Promise<MemberStatus[]> {
    const text = await fetchText(`${this.getOperatorUrl()}/v1/members`);
    return text === undefined ? [] : (JSON.parse(text) as MemberStatus[]);
  }

  /** Reads the daemon's metrics; empty if it does not respond. */
  async readMetrics(): Promise<string> {
    return (await fetchText(`${this.getOperatorUrl()}/metrics`)) ?? '';
  }

  /** Sends a signal to the process without waiting. */
  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Kills the process and waits for its exit. */
  async kill(): Promise<void> {
    await signalAndWait(this.child, 'SIGKILL');
  }

  /**
   * Stops the process gracefully; returns its exit status, or `null` if it was
   * never started or ended by a signal.
   */
  async stop(): Promise<number | null> {
    return signalAndWait(this.child, 'SIGTERM');
  }

  /** Removes the directory with the settings file. */
  async removeDirectory(): Promise<void> {
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

/** A process that runs a fake target. */
export class TargetProcess {
  /** The runs that the target has reported, across restarts. */
  readonly runs: TargetRun[] = [];
  private child: ChildProcess | undefined;

  constructor(private readonly options: FakeTargetOptions) {}

  /** Starts the process and waits until it has tried to announce itself. */
  async start(): Promise<void> {
    const child = fork(TARGET_MAIN, [JSON.stringify(this.options)]);
    this.child = child;
    child.on('message', message => this.handleMessage(message));
    await once(child, 'message');
  }

  isRunning(): boolean {
    return isRunning(this.child);
  }

  /** Sends a signal to the process without waiting. */
  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Kills the process and waits for its exit. */
  async kill(): Promise<void> {
    await signalAndWait(this.child, 'SIGKILL');
  }

  /** Lets the target deregister from its daemon and waits for its exit. */
  async drain(): Promise<void> {
    const {child} = this;
    if (!child) return;
    child.send('drain');
    await once(child, 'exit');
  }

  private handleMessage(message: unknown): void {
    if (!isRunMessage(message)) return;
    this.runs.push(message.run);
  }
}

/** Polls until a condition holds; throws an error that names it on time-out. */
export async function waitFor(
  name: string,
  condition: () => Promise<boolean> | boolean,
  timeoutMs = WAIT_TIMEOUT_MS,
): Promise<void> {
  const deadlineAtMs = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > deadlineAtMs) throw new Error(`timed out: ${name}`);
    await sleep(POLL_INTERVAL_MS);
  }
}

/**
 * Finds free ports below the ephemeral range. The system could assign an
 * ephemeral port to an outgoing connection while a daemon restarts.
 */
async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = FIRST_PORT + (nextPortOffset % PORT_COUNT);
    nextPortOffset += 1;
    if (await isPortFree(port)) ports.push(port);
  }
  return ports;
}

async function isPortFree(port: number): Promise<boolean> {
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

async function fetchText(url: string): Promise<string | undefined> {
  try {
    const response = await request(url, {signal: AbortSignal.timeout(2_000)});
    return await response.body.text();
  } catch {
    return undefined;
  }
}

function isRunning(child: ChildProcess | undefined): boolean {
  return child?.exitCode === null && child.signalCode === null;
}

async function signalAndWait(
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
