/** Lifecycle and wiring of a daemon with multiplexed request links. */

import type {Server} from 'node:http';
import {Coordinator, SeededRandom} from '@cassiaknot/coordination';
import type {ServiceId} from '@cassiaknot/inventory';
import {brandId, makeRecordKey} from '@cassiaknot/inventory';
import type {RelayLinkEvents} from '@cassiaknot/peer-protocol';
import {
  WebSocketRelayTransport,
  WebSocketTransport,
} from '@cassiaknot/peer-protocol';
import type {
  AnnouncementOutcome,
  RelayObserver,
  TargetAnnouncement,
  TargetStart,
} from '@cassiaknot/relay';
import {
  CallerServer,
  RelayEntry,
  RelayGate,
  GateDirectory,
  HttpTargetClient,
  LoopDelay,
  SWEEP_INTERVAL_MS,
  LocalTarget,
  MeshQuotas,
  openLocalLink,
  ConnectionGuard,
  DEFAULT_MEMORY_MB,
  PROCESS_MEMORY,
  toHeldBytes,
} from '@cassiaknot/relay';
import {SlidingRetryBudget} from '@cassiaknot/routing';
import {LimitedStore, TokenBucket} from '@cassiaknot/store';
import {Registry} from 'prom-client';
import {ControlMeter} from '../control_meter.js';
import {countLiveMembers} from '../status.js';
import {MeshMeter} from './mesh_meter.js';
import {
  SIDE_CONNECTION_LIMITS,
  createMetricsServer,
  findCallerLimits,
  getCallerConnectionLimits,
} from './connection_limits.js';
import type {MeshDaemonOptions} from './mesh_options.js';
import {MESH_OVERLAY, MESH_TIMING, STORE_CALL_LIMIT} from './mesh_options.js';
import type {ShutdownHooks} from './graceful_shutdown.js';
import {shutDownGracefully} from './graceful_shutdown.js';
import {newTargetGauges} from './target_gauges.js';

const COMPONENT = 'daemon';
const MAX_SEED = 2 ** 31;
/** Delay of the periodic task from which on it is logged. */
const LOGGED_LOOP_DELAY_MS = 150;
/** Longest wait for peers to confirm that a link is closed. */
const LINK_CLOSE_TIMEOUT_MS = 350;
/** Part of the grace period that is left for writing the log. */
const FLUSH_RESERVE_MS = 250;
/** Time after start for the target to announce itself before it is queried. */
const DISCOVERY_DELAY_MS = 250;

/** A daemon of the mesh. */
export class MeshDaemon {
  private readonly registry = new Registry();
  private readonly meter = new MeshMeter(this.registry);
  private readonly controlMeter = new ControlMeter(this.registry);
  private readonly observer: RelayObserver;
  private readonly coordinator: Coordinator;
  private readonly localTarget: LocalTarget;
  private readonly gate: RelayGate;
  private readonly quotas: MeshQuotas | undefined;
  private readonly gateDirectory: GateDirectory;
  private readonly callerServer: CallerServer;
  private readonly relayTransport = new WebSocketRelayTransport(PROCESS_MEMORY);
  private readonly metricsServer;
  private sweepTimer: NodeJS.Timeout | undefined;
  private appliedMembership: unknown;
  private appliedVersion = 0;
  private readyAtMs: number | undefined;
  private isStopping = false;
  private isDiscoveryStarted = false;
  private startedAtMs = 0;
  private readonly loopDelay = new LoopDelay(SWEEP_INTERVAL_MS);

  constructor(private readonly options: MeshDaemonOptions) {
    const {log} = options;
    this.observer = {
      log: (level, component, event, fields) =>
        log.write(level, component, event, fields),
      count: (event, reason) => this.meter.count(event, reason),
      measure: (stage, latencyMs) => this.meter.measure(stage, latencyMs),
    };
    const {memoryMb = DEFAULT_MEMORY_MB} = options;
    PROCESS_MEMORY.configure(toHeldBytes(memoryMb), this.observer);
    this.coordinator = this.newCoordinator();
    this.localTarget = new LocalTarget({
      getAddress: options.getTargetAddress,
      isKnownService: serviceId =>
        this.appliedVersion === 0 || this.findService(serviceId) !== undefined,
      newClient: (address, slots) => new HttpTargetClient(address, slots),
      observer: this.observer,
      onTargetChange: () => this.gate.publishTargetState(),
    });
    this.gate = this.newGate();
    this.quotas = this.newQuotas();
    this.gateDirectory = this.newGateDirectory();
    this.callerServer = this.newCallerServer();
    this.metricsServer = createMetricsServer(this.registry, this.observer);
    this.registerGauges();
  }

  /** Bounds the connections of a server beside the one for callers. */
  guardConnections(server: Server, name: string): void {
    const limits = SIDE_CONNECTION_LIMITS;
    new ConnectionGuard(server, {name, limits, observer: this.observer});
  }

  /** Binds all ports and joins the mesh. */
  async start(): Promise<void> {
    const {callerAddress, identity, metricsAddress, log} = this.options;
    this.startedAtMs = performance.now();
    await this.relayTransport.listen(
      identity.gateAddress,
      this.getGateEvents(),
    );
    await this.coordinator.start();
    await this.callerServer.listen(callerAddress.host, callerAddress.port);
    this.metricsServer.listen(metricsAddress.port, metricsAddress.host);
    this.sweepTimer = setInterval(() => this.sweep(), SWEEP_INTERVAL_MS);
    log.write('info', COMPONENT, 'started', {
      instanceId: identity.instanceId,
      dataCentre: identity.dataCentreId,
      port: callerAddress.port,
    });
  }

  /** Applies an announcement of the local target. */
  announce(announcement: TargetAnnouncement): AnnouncementOutcome {
    return this.localTarget.announce(announcement);
  }

  /**
   * Deregisters the local target, which receives no new requests afterwards.
   * Returns `false` if it is not the one that is registered.
   */
  deregister(targetStart: TargetStart): boolean {
    return this.localTarget.leave(targetStart);
  }

  /**
   * Whether callers should send requests to this daemon. While it stops, it is
   * not ready but still serves the requests that arrive.
   */
  isReady(): boolean {
    return !this.isStopping && this.canRoute();
  }

  /** Drains and stops; `false` if requests were still in flight at the end. */
  async stop(): Promise<boolean> {
    const {log, shutdownGracePeriodMs} = this.options;
    this.isStopping = true;
    // A late event loop handles the signal late.
    const gracePeriodMs = shutdownGracePeriodMs - this.loopDelay.getDelayMs();
    const endAtMs = performance.now() + gracePeriodMs;
    log.write('info', COMPONENT, 'draining', this.describeLoad());
    const isGraceful = await shutDownGracefully(
      this.getShutdownHooks(),
      gracePeriodMs,
    );
    log.write(isGraceful ? 'info' : 'warn', COMPONENT, 'stopped', {
      isWhole: isGraceful,
      ...this.describeLoad(),
    });
    clearInterval(this.sweepTimer);
    await Promise.all([this.coordinator.stop(), this.closeLinks(endAtMs)]);
    const cutCount = this.callerServer.abortInFlight();
    log.write(cutCount === 0 ? 'info' : 'warn', COMPONENT, 'ended', {cutCount});
    return isGraceful && cutCount === 0;
  }

  // Links are closed before the process ends: the operating system would reset them,
  // and drop the responses on their way, if frames had arrived unread.
  private async closeLinks(endAtMs: number): Promise<void> {
    const leftMs = endAtMs - FLUSH_RESERVE_MS - performance.now();
    const timeoutMs = Math.max(0, Math.min(LINK_CLOSE_TIMEOUT_MS, leftMs));
    await Promise.race([
      this.relayTransport.close(),
      new Promise(resolve => setTimeout(resolve, timeoutMs)),
    ]);
  }

  private getShutdownHooks(): ShutdownHooks {
    return {
      beginDrain: serveUntilMs => {
        this.coordinator.beginDrain();
        this.gate.limitRuns(serveUntilMs);
      },
      closeGate: () => {
        this.logStopStep('gate-closed');
        this.gate.stopAdmission();
      },
      drainCallerConnections: serveUntilMs =>
        this.callerServer.requestClose(serveUntilMs),
      stopAccepting: () => {
        this.logStopStep('accept-ended');
        this.callerServer.stopAccepting();
      },
      readArrived: untilMs => this.callerServer.readArrived(untilMs),
      refuseRequests: () => this.callerServer.requestClose(-Infinity),
      getInFlightCount: () => this.countInFlight(),
      abortInFlight: () => void this.callerServer.abortInFlight(),
      getCallerIdleMs: () => this.callerServer.getIdleMs(),
    };
  }

  private logStopStep(step: string): void {
    this.options.log.write('info', COMPONENT, step, {
      ...this.describeLoad(),
      ...this.callerServer.describeConnections(),
      loopDelayMs: Math.round(this.loopDelay.getDelayMs()),
    });
  }

  // Everything that is owed to callers of this and of other instances.
  private countInFlight(): number {
    const hasUnsentFrames = this.relayTransport.getBufferedBytes() > 0;
    return (
      this.callerServer.getInFlightCount() +
      this.gate.getCallCount() +
      Number(hasUnsentFrames)
    );
  }

  private canRoute(): boolean {
    return this.coordinator.isReady() && this.appliedVersion > 0;
  }

  // Periodic task: applies changes of the membership and the configuration.
  private sweep(): void {
    this.measureLoopDelay();
    PROCESS_MEMORY.setLinkBytes(this.relayTransport.getUnheldBytes());
    const membership = this.coordinator.getMembership();
    if (membership !== this.appliedMembership) {
      this.appliedMembership = membership;
      this.gateDirectory.setMembers(membership.records.values());
    }
    const {state, workspaces} = this.coordinator.getConfiguration();
    const {version} = state;
    if (version !== this.appliedVersion) {
      this.appliedVersion = version;
      this.callerServer.applyLimits();
      this.options.log.write('info', 'config', 'in-force', {
        version,
        workspaces: workspaces.workspaces.size,
        keys: workspaces.workspacesByKeyDigest.size,
      });
    }
    this.gateDirectory.sweep();
    this.quotas?.sweep();
    this.localTarget.sweep();
    this.logFirstReadiness();
    void this.discoverTarget();
  }

  // A busy event loop reads requests, frames and closed connections late.
  private measureLoopDelay(): void {
    const delayMs = this.loopDelay.recordTick();
    this.observer.measure('loop-delay', delayMs);
    if (delayMs < LOGGED_LOOP_DELAY_MS) return;
    this.options.log.write('warn', COMPONENT, 'loop-delayed', {
      delayMs: Math.round(delayMs),
      ...this.describeLoad(),
    });
  }

  private logFirstReadiness(): void {
    if (this.readyAtMs !== undefined || !this.isReady()) return;
    this.readyAtMs = performance.now();
    this.options.log.write('info', COMPONENT, 'ready', {
      afterMs: Math.round(this.readyAtMs - this.startedAtMs),
      version: this.appliedVersion,
      gates: this.gateDirectory.countOpenLinks(),
    });
  }

  // After a daemon restart, the next announcement of a target that kept running
  // may be seconds away, so the target is queried once.
  private async discoverTarget(): Promise<void> {
    if (this.isDiscoveryStarted || this.localTarget.getSession()) return;
    if (this.appliedVersion === 0) return;
    if (performance.now() - this.startedAtMs < DISCOVERY_DELAY_MS) return;
    this.isDiscoveryStarted = true;
    const serviceId = this.options.getCallerServiceId();
    const service = this.findService(brandId<ServiceId>(serviceId));
    const healthPath = service?.healthPath;
    if (healthPath === undefined) return;
    const discovered = await this.options.discoverTarget(healthPath);
    if (discovered && !this.localTarget.getSession()) this.announce(discovered);
  }

  private findService(serviceId: ServiceId) {
    const {records} = this.coordinator.getConfiguration().state;
    const record = records.get(makeRecordKey('service', serviceId));
    return record?.kind === 'service' ? record : undefined;
  }

  private newCoordinator(): Coordinator {
    const {identity, log, store, newSource, fallbackSeeds, onFatal} =
      this.options;
    const tokenBucket = new TokenBucket(STORE_CALL_LIMIT);
    const limitedStore = new LimitedStore(
      store,
      tokenBucket,
      this.controlMeter.newStoreObserver('coordination'),
    );
    return new Coordinator({
      identity,
      overlay: {...MESH_OVERLAY, fallbackSeeds},
      timing: MESH_TIMING,
      transport: new WebSocketTransport(this.controlMeter),
      store: limitedStore,
      source: newSource(limitedStore),
      random: new SeededRandom(Math.floor(Math.random() * MAX_SEED)),
      observer: {
        log: (level, component, message, fields) =>
          log.write(level, component, message, fields),
        count: event => this.controlMeter.countEvent(event),
      },
      onFatal,
    });
  }

  private newGate(): RelayGate {
    const quarantine = this.coordinator.getQuarantine();
    return new RelayGate({
      localTarget: this.localTarget,
      headerCodec: this.options.headerCodec,
      observer: this.observer,
      getLoopDelayMs: () => this.loopDelay.getDelayMs(),
      crashTracker: {
        getStatus: quarantine.getStatus.bind(quarantine),
        clear: quarantine.clear.bind(quarantine),
        reportCrash: (serviceId, fingerprint) => {
          // A request that was in flight at two crashes and never completed is
          // treated as their cause.
          const wasSuspect = quarantine.getStatus(fingerprint) !== 'clear';
          const crashCount = this.coordinator.reportCrash(
            serviceId,
            fingerprint,
            wasSuspect,
          );
          const fields = {serviceId, fingerprint, crashCount};
          this.observer.log('warn', 'quarantine', 'crash', fields);
        },
      },
    });
  }

  private newGateDirectory(): GateDirectory {
    const {identity} = this.options;
    return new GateDirectory({
      self: identity.instanceId,
      dataCentreId: identity.dataCentreId,
      dial: (address, events) => this.relayTransport.dial(address, events),
      openLocalLink: events => openLocalLink(events, this.getGateEvents()),
      random: new SeededRandom(Math.floor(Math.random() * MAX_SEED)),
      observer: this.observer,
      ...(this.quotas ? {watcher: this.quotas} : {}),
    });
  }

  private getGateEvents(): RelayLinkEvents {
    const events = this.gate.getLinkEvents();
    return this.quotas?.wrapGateEvents(events) ?? events;
  }

  private newQuotas(): MeshQuotas | undefined {
    const {identity, quotaBounds: bounds} = this.options;
    if (!bounds) return undefined;
    return new MeshQuotas({
      self: identity.instanceId,
      dataCentreId: identity.dataCentreId,
      bounds,
      getConfiguration: () => this.coordinator.getConfiguration(),
      getMemberCount: () => countLiveMembers(this.coordinator),
      observer: this.observer,
      random: Math.random,
    });
  }

  private newCallerServer(): CallerServer {
    const {headerCodec, getCallerServiceId, retryBudget} = this.options;
    const entry = new RelayEntry({
      getConfiguration: () => this.coordinator.getConfiguration(),
      hasNewerVersion: () => this.coordinator.hasNewerVersion(),
      mayRoute: () => this.waitUntilVerified(),
      workspaceRequestHeaders: headerCodec.workspaceRequestHeaders,
      directory: this.gateDirectory,
      retryBudget: new SlidingRetryBudget(retryBudget),
      getMemberCount: () => countLiveMembers(this.coordinator),
      getCallerServiceId,
      observer: this.observer,
      random: Math.random,
      ...(this.quotas ? {quotaGate: this.quotas} : {}),
    });
    return new CallerServer({
      entry,
      headerCodec,
      observer: this.observer,
      getLimits: () => findCallerLimits(this.coordinator.getConfiguration()),
      getLoopDelayMs: () => this.loopDelay.getDelayMs(),
      connectionLimits: getCallerConnectionLimits(this.options.maxFds),
    });
  }

  // After a process pause, the daemon briefly verifies its configuration
  // version; requests wait until it has.
  private async waitUntilVerified(): Promise<boolean> {
    if (this.coordinator.isReady()) return true;
    if (!this.coordinator.isVerifying()) return false;
    await this.coordinator.whenReady();
    return true;
  }

  private registerGauges(): void {
    this.meter.registerGauges({
      getVersion: () => this.appliedVersion,
      getOpenGateCount: () => this.gateDirectory.countOpenLinks(),
      ...newTargetGauges(this.localTarget),
      getDroppedLogLineCount: this.options.getDroppedLogLineCount,
      getLentWorkspaceCount: () => this.quotas?.getLentCount() ?? 0,
    });
  }

  private describeLoad(): Readonly<Record<string, number>> {
    return {
      callers: this.callerServer.getInFlightCount(),
      runs: this.gate.getCallCount(),
      version: this.appliedVersion,
    };
  }
}
