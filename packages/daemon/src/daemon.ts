/** Lifecycle of a daemon: start, drain and stop. */

import type {Coordinator} from '@cassiaknot/coordination';
import type {HttpServer, TargetRegistry} from '@cassiaknot/proxy';
import {GATE_IDLE_TIMEOUT_MS} from '@cassiaknot/proxy';
import type {Log} from './logging.js';
import type {Settings} from './settings.js';

/** Components of a {@link Daemon}. */
export interface DaemonComponents {
  readonly settings: Settings;
  readonly log: Log;
  readonly coordinator: Coordinator;
  readonly targets: TargetRegistry;
  readonly entryServer: HttpServer;
  readonly gateServer: HttpServer;
  readonly operatorServer: HttpServer;
  readonly closeClients: () => Promise<void>;
}

const COMPONENT = 'daemon';
const ENTRY_IDLE_TIMEOUT_MS = 65_000;
const OPERATOR_STOP_TIMEOUT_MS = 1_000;

/** A daemon with its servers. */
export class Daemon {
  constructor(private readonly components: DaemonComponents) {}

  /** Binds all ports and joins the mesh. */
  async start(): Promise<void> {
    const {coordinator, log, settings} = this.components;
    const {address: host} = settings.daemon;
    const {ports} = settings;
    await this.components.gateServer.listen({
      host,
      port: ports.gate,
      idleTimeoutMs: GATE_IDLE_TIMEOUT_MS,
    });
    await this.components.operatorServer.listen({
      host,
      port: ports.operator,
      idleTimeoutMs: ENTRY_IDLE_TIMEOUT_MS,
    });
    await coordinator.start();
    await this.components.entryServer.listen({
      host,
      port: ports.entry,
      idleTimeoutMs: ENTRY_IDLE_TIMEOUT_MS,
    });
    log.write(
      'info',
      COMPONENT,
      `Listening for requests on ${host}:${ports.entry}.`,
    );
  }

  /** Drains and stops; `false` if requests in flight were aborted. */
  async stop(): Promise<boolean> {
    const {coordinator, entryServer, gateServer, log, settings} =
      this.components;
    const {drain_ms: drainMs, stop_timeout_ms: stopTimeoutMs} = settings.daemon;
    log.write('info', COMPONENT, 'Draining.');
    coordinator.beginDrain();
    this.components.targets.stop();
    entryServer.beginDrain();
    gateServer.beginDrain();
    await new Promise(resolve => setTimeout(resolve, drainMs));
    const isEntryGraceful = await entryServer.stop(stopTimeoutMs);
    const isGateGraceful = await gateServer.stop(stopTimeoutMs);
    await coordinator.stop();
    await this.components.operatorServer.stop(OPERATOR_STOP_TIMEOUT_MS);
    await this.components.closeClients();
    const isGraceful = isEntryGraceful && isGateGraceful;
    log.write(
      'info',
      COMPONENT,
      isGraceful ? 'Stopped.' : 'Stopped; requests in flight were aborted.',
    );
    return isGraceful;
  }
}
