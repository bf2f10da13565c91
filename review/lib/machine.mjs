/**
 * One machine of a small deployment: the project's own process, started with the
 * command of the deploy file, and the platform's part of watching it.
 */

import {spawn} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {readFile, writeFile} from 'node:fs/promises';
import {get} from 'node:http';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

const REPOSITORY = fileURLToPath(new URL('../../', import.meta.url));
/** Platform: `HeartbeatMs` of the settings in DEPLOY.md. */
export const HEARTBEAT_MS = 1_500;
/** `MemoryMb` of the settings in DEPLOY.md. */
export const MEMORY_MB = 350;
/** PROTOCOL.md, Ingress: "Once per second, the platform sends `GET /api/readyz`". */
export const READINESS_INTERVAL_MS = 1_000;
/** Delay before a process that ended is started again ("a short delay"). */
const RESTART_DELAY_MS = 500;

/** Ports are the same on all machines of a deployment (DEPLOY.md). */
export const PORTS = {
  inbound: 8300,
  app: 8301,
  readiness: 8302,
  outbound: 8304,
  control: 8306,
  /** The first two ports of `PortRange`, which the program uses. */
  range: [7620, 7621],
  /** `metrics` in deploy/system.toml. */
  metrics: 9464,
};

async function readRunCommand() {
  const text = await readFile(join(REPOSITORY, 'deploy/system.toml'), 'utf8');
  const run = /^run = "([^"]+)"$/m.exec(text)?.[1];
  if (!run) throw new Error('deploy/system.toml names no command');
  return run.split(' ');
}

function formatSettings({name, ip, zone, zones, service, storeAddress}) {
  const zoneLines = zones.map(each => `${each} = "viti-west"`).join('\n');
  return `[Self]
NodeName = "${name}"
Role = "daemon"
InstanceClass = "sidecar"
Serves = ["sidecar"]
Ip = "${ip}"
Zone = "${zone}"
Region = "viti-west"
CountsAsLoss = false
Bootstrap = true
AppAddr = "${ip}:${PORTS.app}"
Service = "${service}"
[Self.Limits]
CpuShare = 0.54
CpuCores = 1
MemoryMb = ${MEMORY_MB}
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Network]
PortRange = [${PORTS.range[0]},${PORTS.range[0] + 15}]
SeedNodes = []
[Network.Listen]
Inbound = "${ip}:${PORTS.inbound}"
Outbound = "${ip}:${PORTS.outbound}"
Readiness = "${ip}:${PORTS.readiness}"
ControlPlane = "${ip}:${PORTS.control}"
[Network.Zones]
${zoneLines}
[Platform]
Discovery = "static"
EntryMode = "static"
HeartbeatMs = ${HEARTBEAT_MS}
[Platform.Platform]
Address = "${storeAddress}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
[Terms]
Contracts = ["base","drain","config","cost","retry","recover","platform"]
[Terms.FaultTolerance]
Machines = 2
Zones = 1
Regions = 0
[Terms.Bounds]
SeedLagS = 3
AddrReuseS = 2
ContactMs = 3000
AckTimeoutMs = 4000
CatchUpS = 4
DrainMs = 2000
GracePeriodS = 6
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxSkewMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetSlack = 58
RecoveryS = 15
`;
}

export class Machine {
  constructor(options) {
    this.options = options;
    this.name = options.name;
    this.ip = options.ip;
    /** Ends of the process that the test did not cause, as texts. */
    this.ownEnds = [];
    this.isStopping = false;
    this.isTermed = false;
  }

  async start() {
    const {directory, name} = this.options;
    this.settingsPath = join(directory, `${name}.toml`);
    await writeFile(this.settingsPath, formatSettings(this.options));
    this.command = await readRunCommand();
    this.log = createWriteStream(join(directory, `${name}.log`));
    this.launch();
  }

  launch() {
    const [program, ...words] = this.command;
    const {PATH, HOME = '/tmp', LANG = 'C.UTF-8'} = process.env;
    this.child = spawn(program, words, {
      cwd: REPOSITORY,
      env: {PATH, HOME, LANG, CASSIAKNOT_CONFIG: this.settingsPath},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const {child} = this;
    child.stdout.pipe(this.log, {end: false});
    child.stderr.pipe(this.log, {end: false});
    child.on('exit', (code, signal) => {
      this.onExit?.(code, signal);
      if (this.isStopping || this.isTermed) return;
      this.ownEnds.push(`code ${code}, signal ${signal}`);
      setTimeout(() => {
        if (!this.isStopping) this.launch();
      }, RESTART_DELAY_MS);
    });
  }

  /** The platform's question: whether the node is ready. */
  isReady() {
    return new Promise(resolve => {
      const request = get(
        {
          host: this.ip,
          port: PORTS.readiness,
          path: '/api/readyz',
          timeout: 1_000,
          agent: false,
        },
        response => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve(false));
    });
  }

  async whenReady(limitMs = 20_000) {
    const untilMs = performance.now() + limitMs;
    while (performance.now() < untilMs) {
      if (await this.isReady()) return true;
      await new Promise(resolve => setTimeout(resolve, 100));
    }
    return false;
  }

  /** Resident memory of the process in MB; undefined if it has ended. */
  async readMemoryMb() {
    try {
      const text = await readFile(`/proc/${this.child.pid}/status`, 'utf8');
      const kilobytes = /^VmRSS:\s+(\d+) kB$/m.exec(text)?.[1];
      return kilobytes === undefined ? undefined : Number(kilobytes) / 1_024;
    } catch {
      return undefined;
    }
  }

  signal(name) {
    if (name === 'SIGTERM') this.isTermed = true;
    this.child.kill(name);
  }

  stop() {
    this.isStopping = true;
    this.child?.kill('SIGKILL');
  }
}
