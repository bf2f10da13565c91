/** The life of a daemon on the multiplexed request path, and its wiring. */

import {createServer} from 'node:http';
import {Coordinator, SeededRandom} from '@cassiaknot/coordination';
import type {
  CallerLimitsRecord,
  RecordKey,
  ServiceId,
} from '@cassiaknot/inventory';
import {brandId, makeRecordKey} from '@cassiaknot/inventory';
import {
  WebSocketRelayTransport,
  WebSocketTransport,
} from '@cassiaknot/peer-protocol';
import type {
  AnnouncementOutcome,
  CallerLimits,
  RelayObserver,
  TargetAnnouncement,
  TargetStart,
} from '@cassiaknot/relay';
import {
  CallerServer,
  DEFAULT_CALLER_LIMITS,
  Entry,
  Gate,
  GateDirectory,
  HttpTargetClient,
  SWEEP_INTERVAL_MS,
  TargetSlot,
  openLocalLink,
} from '@cassiaknot/relay';
import {RetryWindow} from '@cassiaknot/routing';
import {LimitedStore, TokenBucket} from '@cassiaknot/store';
import {Registry} from 'prom-client';
import {ControlMeter} from '../control_meter.js';
import {countLiveMembers} from '../status.js';
import {MeshMeter} from './mesh_meter.js';
import type {MeshDaemonOptions} from './mesh_options.js';
import {MESH_OVERLAY, MESH_TIMING, STORE_CALLS} from './mesh_options.js';
import type {StoppableParts} from './stop_sequence.js';
import {runStopSequence} from './stop_sequence.js';

const PART = 'daemon';
const MAX_SEED = 2 ** 31;
/** Record under which the bounds on callers are kept. */
const LIMITS_KEY: RecordKey = makeRecordKey('caller-limits', 'default');
/** Time for a target to announce itself before it is asked. */
const IDENTIFY_AFTER_MS = 250;
/** One running daemon. */
export class MeshDaemon {
  private readonly registry = new Registry();
  private readonly meter = new MeshMeter(this.registry);
  private readonly controlMeter = new ControlMeter(this.registry);
  private readonly observer: RelayObserver;
  private readonly coordinator: Coordinator;
  private readonly slot: TargetSlot;
  private readonly gate: Gate;
  private readonly directory: GateDirectory;
  private readonly callers: CallerServer;
  private readonly relayTransport = new WebSocketRelayTransport();
  private readonly metricsServer;
  private sweepTimer: NodeJS.Timeout | undefined;
  private knownMembers: unknown;
  private knownVersion = 0;
  private readySinceMs: number | undefined;
  private isStopping = false;
  private isIdentifying = false;
  private startedAtMs = 0;

  constructor(private readonly options: MeshDaemonOptions) {
    const {log} = options;
    this.observer = {
      decide: (level, part, event, fields) =>
        log.write(level, part, event, fields),
      count: (event, reason) => this.meter.count(event, reason),
      measure: (stage, latencyMs) => this.meter.measure(stage, latencyMs),
    };
    this.coordinator = this.newCoordinator();
    this.slot = new TargetSlot({
      getAddress: options.getTargetAddress,
      newClient: (address, slots) => new HttpTargetClient(address, slots),
      observer: this.observer,
      onChange: () => this.gate.publishTarget(),
    });
    this.gate = this.newGate();
    this.directory = this.newDirectory();
    this.callers = this.newCallerServer();
    this.metricsServer = createServer((_request, response) => {
      void this.registry.metrics().then(text => {
        response.setHeader('content-type', this.registry.contentType);
        response.end(text);
      });
    });
    this.registerGauges();
  }

  /** Binds all ports and joins the mesh. */
  async start(): Promise<void> {
    const {callerAddress, identity, metricsAddress, log} = this.options;
    this.startedAtMs = performance.now();
    await this.relayTransport.listen(
      identity.gateAddress,
      this.gate.getLinkEvents(),
    );
    await this.coordinator.start();
    await this.callers.listen(callerAddress.host, callerAddress.port);
    this.metricsServer.listen(metricsAddress.port, metricsAddress.host);
    this.sweepTimer = setInterval(() => this.sweep(), SWEEP_INTERVAL_MS);
    log.write('info', PART, 'started', {
      instanceId: identity.instanceId,
      dataCentre: identity.dataCentreId,
      port: callerAddress.port,
    });
  }

  /** Takes what the target says of itself. */
  announce(announcement: TargetAnnouncement): AnnouncementOutcome {
    return this.slot.announce(announcement);
  }

  /** Ends a target that leaves; no new request reaches it afterwards. */
  leave(leaving: TargetStart): boolean {
    return this.slot.leave(leaving);
  }

  /** Whether callers should send their requests here. */
  isReady(): boolean {
    return !this.isStopping && this.mayRoute();
  }

  /** Drains and stops; `false` if a request had to be cut after all. */
  async stop(): Promise<boolean> {
    const {log, stopGraceMs} = this.options;
    this.isStopping = true;
    log.write('info', PART, 'draining', this.describeLoad());
    const isWhole = await runStopSequence(
      this.getStoppableParts(),
      stopGraceMs,
    );
    log.write(isWhole ? 'info' : 'warn', PART, 'stopped', {
      isWhole,
      ...this.describeLoad(),
    });
    clearInterval(this.sweepTimer);
    await this.coordinator.stop();
    return isWhole;
  }

  private getStoppableParts(): StoppableParts {
    return {
      beginDrain: () => this.coordinator.beginDrain(),
      closeGate: () => this.gate.beginStop(),
      releaseCallers: () => this.callers.beginClose(),
      stopAccepting: () => this.callers.stopAccepting(),
      countOpenRequests: () =>
        this.callers.getInFlight() + this.gate.getCallCount(),
      getCallerIdleMs: () => this.callers.getIdleMs(),
    };
  }

  private mayRoute(): boolean {
    return this.coordinator.isReady() && this.knownVersion > 0;
  }

  private sweep(): void {
    const view = this.coordinator.getMembership();
    if (view !== this.knownMembers) {
      this.knownMembers = view;
      this.directory.setMembers(view.records.values());
    }
    const {version} = this.coordinator.getConfiguration().state;
    if (version !== this.knownVersion) {
      this.knownVersion = version;
      this.callers.applyLimits();
      this.options.log.write('info', 'config', 'in-force', {version});
    }
    this.directory.sweep();
    this.slot.sweep();
    this.noticeReadiness();
    void this.identifyTarget();
  }

  private noticeReadiness(): void {
    if (this.readySinceMs !== undefined || !this.isReady()) return;
    this.readySinceMs = performance.now();
    this.options.log.write('info', PART, 'ready', {
      afterMs: Math.round(this.readySinceMs - this.startedAtMs),
      version: this.knownVersion,
      gates: this.directory.countOpen(),
    });
  }

  // After a restart beside a running target its next announcement may be
  // seconds away.
  private async identifyTarget(): Promise<void> {
    if (this.isIdentifying || this.slot.getSession()) return;
    if (this.knownVersion === 0) return;
    if (performance.now() - this.startedAtMs < IDENTIFY_AFTER_MS) return;
    this.isIdentifying = true;
    const serviceId = this.options.getCallerServiceId();
    const service = this.findService(brandId<ServiceId>(serviceId));
    const path = service?.healthPath;
    if (path === undefined) return;
    const announcement = await this.options.identifyTarget(path);
    if (announcement && !this.slot.getSession()) this.announce(announcement);
  }

  private findService(serviceId: ServiceId) {
    const {records} = this.coordinator.getConfiguration().state;
    const record = records.get(makeRecordKey('service', serviceId));
    return record?.kind === 'service' ? record : undefined;
  }

  private newCoordinator(): Coordinator {
    const {identity, log, store, newSource, fallbackSeeds, onFatal} =
      this.options;
    const bucket = new TokenBucket(STORE_CALLS);
    const limited = new LimitedStore(store, bucket, () =>
      this.controlMeter.countStoreRefusal('coordination'),
    );
    return new Coordinator({
      identity,
      overlay: {...MESH_OVERLAY, fallbackSeeds},
      timing: MESH_TIMING,
      transport: new WebSocketTransport(this.controlMeter),
      store: limited,
      source: newSource(limited),
      random: new SeededRandom(Math.floor(Math.random() * MAX_SEED)),
      observer: {
        log: (level, part, message) => log.write(level, part, message),
        count: event => this.controlMeter.countEvent(event),
      },
      onFatal,
    });
  }

  private newGate(): Gate {
    const quarantine = this.coordinator.getQuarantine();
    return new Gate({
      slot: this.slot,
      dialect: this.options.dialect,
      observer: this.observer,
      crashWatch: {
        judge: quarantine.judge.bind(quarantine),
        acquit: quarantine.acquit.bind(quarantine),
        reportCrash: (serviceId, fingerprint) => {
          // Seen at two crashes and never answered: taken as their cause.
          const wasSuspect = quarantine.judge(fingerprint) !== 'clear';
          const crashCount = this.coordinator.reportCrash(
            serviceId,
            fingerprint,
            wasSuspect,
          );
          const fields = {serviceId, fingerprint, crashCount};
          this.observer.decide('warn', 'quarantine', 'crash', fields);
        },
      },
    });
  }

  private newDirectory(): GateDirectory {
    const {identity} = this.options;
    return new GateDirectory({
      self: identity.instanceId,
      dataCentreId: identity.dataCentreId,
      dial: (address, events) => this.relayTransport.dial(address, events),
      openOwn: events => openLocalLink(events, this.gate.getLinkEvents()),
      random: new SeededRandom(Math.floor(Math.random() * MAX_SEED)),
      observer: this.observer,
    });
  }

  private newCallerServer(): CallerServer {
    const {dialect, getCallerServiceId, retryWindow} = this.options;
    const entry = new Entry({
      getConfiguration: () => this.coordinator.getConfiguration(),
      mayRoute: () => this.waitForCheck(),
      directory: this.directory,
      retryWindow: new RetryWindow(retryWindow),
      getMemberCount: () => countLiveMembers(this.coordinator),
      getCallerServiceId,
      observer: this.observer,
      random: Math.random,
    });
    return new CallerServer({
      entry,
      dialect,
      observer: this.observer,
      getLimits: () => this.getCallerLimits(),
    });
  }

  // After a pause of its own a process checks its version for a moment.
  private async waitForCheck(): Promise<boolean> {
    if (this.coordinator.isReady()) return true;
    if (!this.coordinator.isVerifying()) return false;
    await this.coordinator.whenReady();
    return true;
  }

  private getCallerLimits(): CallerLimits {
    const {records} = this.coordinator.getConfiguration().state;
    const record = records.get(LIMITS_KEY);
    return isCallerLimits(record) ? record : DEFAULT_CALLER_LIMITS;
  }

  private registerGauges(): void {
    this.meter.registerGauges({
      getVersion: () => this.knownVersion,
      getOpenGateCount: () => this.directory.countOpen(),
      getWaitingCount: () => this.slot.getSession()?.getLoad().waiting ?? 0,
      getRunningCount: () => this.slot.getSession()?.getLoad().running ?? 0,
      getDroppedLogLines: this.options.getDroppedLogLines,
    });
  }

  private describeLoad(): Readonly<Record<string, number>> {
    return {
      callers: this.callers.getInFlight(),
      runs: this.gate.getCallCount(),
      version: this.knownVersion,
    };
  }
}

function isCallerLimits(
  record: {readonly kind: string} | undefined,
): record is CallerLimitsRecord {
  return record?.kind === 'caller-limits';
}
