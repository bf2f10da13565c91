/** Creates a daemon from its settings and wires its components. */

import type {CoordinatorOptions} from '@cassiaknot/coordination';
import {
  Coordinator,
  DEFAULT_OVERLAY,
  DEFAULT_TIMING,
  LogSource,
  RetryBudget,
  SeededRandom,
} from '@cassiaknot/coordination';
import type {ServiceId, ServiceRecord} from '@cassiaknot/inventory';
import {brandId, makeRecordKey} from '@cassiaknot/inventory';
import type {GateAddress, PeerAddress} from '@cassiaknot/peer-protocol';
import {WebSocketTransport} from '@cassiaknot/peer-protocol';
import {
  AdaptiveRateLimiter,
  DEFAULT_ADAPTIVE_RATE_LIMITER_OPTIONS,
  HttpStore,
  LimitedStore,
  TokenBucket,
} from '@cassiaknot/store';
import {
  Balancer,
  ProxyEntry,
  ProxyGate,
  GateHealth,
  HttpGateClient,
  HttpServer,
  HttpTargetClient,
  ProxyMeter,
  StoreClaimRegistry,
  TargetRegistry,
  newEntryHandler,
  newGateHandler,
  refuseWhileDraining,
} from '@cassiaknot/proxy';
import {Registry} from 'prom-client';
import {ControlMeter} from './control_meter.js';
import {Daemon} from './daemon.js';
import type {Log} from './logging.js';
import {newOperatorHandler} from './operator_server.js';
import type {Settings} from './settings.js';
import {countLiveMembers} from './status.js';

const MAX_SEED = 2 ** 31;

/** Creates a daemon; nothing runs before its `start`. */
export function newDaemon(
  settings: Settings,
  log: Log,
  onFatal: (error: Error) => void,
): Daemon {
  const registry = new Registry();
  const controlMeter = new ControlMeter(registry);
  const meter = new ProxyMeter(registry);
  const store = newStore(settings);
  const coordinator = new Coordinator(
    newCoordinatorOptions(settings, store, controlMeter, log, onFatal),
  );
  const findService = (id: ServiceId) => findServiceRecord(coordinator, id);
  const targets = newTargetRegistry(
    settings,
    coordinator,
    controlMeter,
    log,
    findService,
  );
  const claimLimiter = new AdaptiveRateLimiter({
    ...DEFAULT_ADAPTIVE_RATE_LIMITER_OPTIONS,
    maxPerSecond: settings.claims.max_calls_per_second,
  });
  const claimStore = new LimitedStore(
    store,
    claimLimiter,
    controlMeter.newStoreObserver('claims'),
  );
  const gate = new ProxyGate({
    instanceId: settings.daemon.instance_id,
    targets,
    claims: new StoreClaimRegistry(claimStore, settings.claims.horizon_ms),
    crashTracker: newCrashTracker(coordinator, log),
    findService,
  });
  const gateClient = new HttpGateClient();
  const entry = newEntry(settings, coordinator, gateClient, meter);
  const statusSources = {
    instanceId: settings.daemon.instance_id,
    dataCentreId: settings.daemon.data_centre,
    coordinator,
    targets,
    meter,
  };
  controlMeter.registerGauges({
    getVersion: () => coordinator.getConfiguration().state.version,
    getLiveMemberCount: () => countLiveMembers(coordinator),
    getWaitingCount: () => targets.getSession()?.queue.getWaitingCount() ?? 0,
    getClaimRate: () => claimLimiter.getRatePerSecond(),
    getRunningCount: () => targets.getSession()?.queue.getRunningCount() ?? 0,
  });
  return new Daemon({
    settings,
    log,
    coordinator,
    targets,
    entryServer: new HttpServer(
      newEntryHandler(entry, meter),
      refuseWhileDraining,
    ),
    gateServer: new HttpServer(
      newGateHandler(gate, meter),
      refuseWhileDraining,
    ),
    operatorServer: new HttpServer(
      newOperatorHandler({sources: statusSources, registry}),
    ),
    closeClients: async () => {
      await gateClient.close();
      await store.close();
    },
  });
}

function newStore(settings: Settings): HttpStore {
  const {url, timeout_ms: timeoutMs} = settings.platform;
  return new HttpStore({url, timeoutMs});
}

function newCoordinatorOptions(
  settings: Settings,
  store: HttpStore,
  meter: ControlMeter,
  log: Log,
  onFatal: (error: Error) => void,
): CoordinatorOptions {
  const {daemon, overlay, platform, ports} = settings;
  const tokenBucket = new TokenBucket({
    ratePerSecond: platform.calls_per_second,
    burst: platform.call_burst,
  });
  const {joins_per_second: joinsPerSecond} = overlay;
  const limitedStore = new LimitedStore(
    store,
    tokenBucket,
    meter.newStoreObserver('coordination'),
  );
  return {
    identity: {
      instanceId: daemon.instance_id,
      dataCentreId: daemon.data_centre,
      peerAddress: brandId<PeerAddress>(`${daemon.address}:${ports.peer}`),
      gateAddress: brandId<GateAddress>(`${daemon.address}:${ports.gate}`),
    },
    overlay: {
      ...DEFAULT_OVERLAY,
      linksPerDaemon: overlay.links,
      uplinksPerDataCentre: overlay.readers_per_data_centre,
      readersPerDataCentre: overlay.readers_per_data_centre,
      seedsPerDataCentre: overlay.seeds_per_data_centre,
      fallbackSeeds: overlay.fallback_seeds,
      fetchesFromPeers: overlay.learns_from_peers,
      joinAdmission: {ratePerSecond: joinsPerSecond, burst: joinsPerSecond},
    },
    timing: DEFAULT_TIMING,
    transport: new WebSocketTransport(meter),
    store: limitedStore,
    source: new LogSource(limitedStore),
    random: new SeededRandom(getRandomSeed(settings)),
    observer: {
      log: (level, component, message) => log.write(level, component, message),
      count: event => meter.countEvent(event),
    },
    onFatal,
  };
}

function newTargetRegistry(
  settings: Settings,
  coordinator: Coordinator,
  meter: ControlMeter,
  log: Log,
  findService: (id: ServiceId) => ServiceRecord | undefined,
): TargetRegistry {
  return new TargetRegistry({
    heartbeatTimeoutMs: settings.target.silence_ms,
    newClient: options => new HttpTargetClient(options),
    findService,
    onTargetChange: announcement => {
      if (!announcement) {
        coordinator.setTarget(null);
        return;
      }
      const {serviceId, slots, connections} = announcement;
      coordinator.setTarget({serviceId, slots, connections});
      log.write('info', 'target', `Serving ${serviceId} with ${slots} slots.`);
    },
    onSessionEnd: (reason, waitingCount) => {
      meter.countTargetEnd(reason);
      const message = `Ended: ${reason}. Refused ${waitingCount} queued requests.`;
      log.write('warn', 'target', message);
    },
  });
}

function newCrashTracker(coordinator: Coordinator, log: Log) {
  const quarantine = coordinator.getQuarantine();
  return {
    getStatus: quarantine.getStatus.bind(quarantine),
    clear: quarantine.clear.bind(quarantine),
    reportCrash: (...crashReport: Parameters<Coordinator['reportCrash']>) => {
      const [serviceId, fingerprint] = crashReport;
      const crashCount = coordinator.reportCrash(...crashReport);
      const message = `Target of ${serviceId} crashed with request ${fingerprint} in flight, crash ${crashCount} of this request.`;
      log.write('warn', 'quarantine', message);
    },
  };
}

function newEntry(
  settings: Settings,
  coordinator: Coordinator,
  gateClient: HttpGateClient,
  meter: ProxyMeter,
): ProxyEntry {
  const health = new GateHealth();
  const random = new SeededRandom(getRandomSeed(settings) + 1);
  const {share, max_saved: maxTokens} = settings.retries;
  return new ProxyEntry({
    controlPlane: coordinator,
    balancer: new Balancer(settings.daemon.data_centre, health, random),
    gates: gateClient,
    health,
    retryBudget: new RetryBudget({retriesPerRequest: share, maxTokens}),
    meter,
  });
}

function findServiceRecord(
  coordinator: Coordinator,
  id: ServiceId,
): ServiceRecord | undefined {
  const {records} = coordinator.getConfiguration().state;
  const record = records.get(makeRecordKey('service', id));
  return record?.kind === 'service' ? record : undefined;
}

function getRandomSeed(settings: Settings): number {
  const generatedSeed = Math.floor(Math.random() * MAX_SEED);
  return settings.daemon.random_seed ?? generatedSeed;
}
