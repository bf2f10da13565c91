/** The life of a daemon: start, drain and stop. */

import type {Coordinator} from '@cassiaknot/coordination';
import type {HttpServer, TargetRegistry} from '@cassiaknot/proxy';
import {GATE_IDLE_TIMEOUT_MS} from '@cassiaknot/proxy';
import type {Log} from './logging.js';
import type {Settings} from './settings.js';

/** Parts of a daemon. */
export interface DaemonParts {
  readonly settings: Settings;
  readonly log: Log;
  readonly coordinator: Coordinator;
  readonly targets: TargetRegistry;
  readonly entryServer: HttpServer;
  readonly gateServer: HttpServer;
  readonly operatorServer: HttpServer;
  readonly closeClients: () => Promise<void>;
}

const PART = 'daemon';
const ENTRY_IDLE_TIMEOUT_MS = 65_000;
const OPERATOR_STOP_TIMEOUT_MS = 1_000;

/** One running daemon. */
export class Daemon {
  constructor(private readonly parts: DaemonParts) {}

  /** Binds all ports and joins the mesh. */
  async start(): Promise<void> {
    const {coordinator, log, settings} = this.parts;
    const {address: host} = settings.daemon;
    const {ports} = settings;
    await this.parts.gateServer.listen({
      host,
      port: ports.gate,
      idleTimeoutMs: GATE_IDLE_TIMEOUT_MS,
    });
    await this.parts.operatorServer.listen({
      host,
      port: ports.operator,
      idleTimeoutMs: ENTRY_IDLE_TIMEOUT_MS,
    });
    await coordinator.start();
    await this.parts.entryServer.listen({
      host,
      port: ports.entry,
      idleTimeoutMs: ENTRY_IDLE_TIMEOUT_MS,
    });
    log.write(
      'info',
      PART,
      `Listening for requests on ${host}:${ports.entry}.`,
    );
  }

  /** Drains and stops; `false` if a request had to be cut after all. */
  async stop(): Promise<boolean> {
    const {coordinator, entryServer, gateServer, log, settings} = this.parts;
    const {drain_ms: drainMs, stop_timeout_ms: timeoutMs} = settings.daemon;
    log.write('info', PART, 'Draining.');
    coordinator.beginDrain();
    this.parts.targets.stop();
    entryServer.beginDrain();
    gateServer.beginDrain();
    await new Promise(resolve => setTimeout(resolve, drainMs));
    const isEntryWhole = await entryServer.stop(timeoutMs);
    const isGateWhole = await gateServer.stop(timeoutMs);
    await coordinator.stop();
    await this.parts.operatorServer.stop(OPERATOR_STOP_TIMEOUT_MS);
    await this.parts.closeClients();
    const isWhole = isEntryWhole && isGateWhole;
    log.write(
      'info',
      PART,
      isWhole ? 'Stopped.' : 'Stopped, cutting requests.',
    );
    return isWhole;
  }
}
