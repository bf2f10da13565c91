/**
 * The control plane of one daemon: the configuration replica, the membership,
 * the peer overlay, and the reader and seed roles.
 */

import type {ActorSystemRef} from 'nact';
import {start, stop} from 'nact';
import type {Fingerprint, TargetCapacity} from '@cassiaknot/peer-protocol';
import type {ServiceId} from '@cassiaknot/inventory';
import type {ActorDirectory, OwnRecordChange} from './actors/actor_messages.js';
import {DeferredRef, spawnHandler} from './actors/actor_support.js';
import type {ControlContext} from './actors/control_context.js';
import {START_WINDOW_MS} from './actors/dial_schedule.js';
import {LinksActor} from './actors/links_actor.js';
import {MembershipActor} from './actors/membership_actor.js';
import type {PublishedConfiguration} from './actors/published_state.js';
import {PublishedState} from './actors/published_state.js';
import {ReaderActor} from './actors/reader_actor.js';
import {ReplicaActor} from './actors/replica_actor.js';
import {SeedsActor} from './actors/seeds_actor.js';
import type {CoordinatorOptions} from './coordinator_options.js';
import type {SkippedVersion} from './config_replica.js';
import type {MembershipView} from './membership_view.js';
import {PauseDetector} from './pause_detector.js';
import {QUARANTINE_TTL_MS, Quarantine} from './quarantine.js';
import {randomBetween} from './random.js';
import {Readiness} from './readiness.js';
import {ReportedVersions} from './reported_versions.js';
import {SourceFreshness} from './source_freshness.js';
import {VersionTrace} from './version_trace.js';

const REQUIRED_PEERS = 3;
const PAUSE_CHECK_MS = 500;
const PAUSE_THRESHOLD_MS = 2_000;
const CRASH_LIMIT = 2;
const MAX_QUARANTINE_ENTRIES = 10_000;
const STOP_GRACE_MS = 100;
/**
 * Share of the heartbeat interval by which a contact with the source must be newer
 * to be passed on at once. Two readers out of phase then cause one message per
 * link and interval, not two.
 */
const RELAY_STEP_SHARE = 0.7;
const MIN_SILENCE_CHECK_MS = 50;
/** Interval at which a new process dials the peers that did not respond. */
const START_REDIAL_INTERVAL_MS = 150;
const COMPONENT = 'coordinator';

/** Runs the control plane actors and gives access to their published state. */
export class Coordinator {
  private readonly context: ControlContext;
  private readonly system: ActorSystemRef;
  private readonly inboundLinkEvents;
  private readonly pauseDetector: PauseDetector;
  private tickTimer: NodeJS.Timeout | undefined;
  private silenceTimer: NodeJS.Timeout | undefined;
  private redialTimer: NodeJS.Timeout | undefined;
  private isDraining = false;

  constructor(private readonly options: CoordinatorOptions) {
    this.context = newControlContext(options, () => this.announceServing());
    this.system = start();
    const linksActor = new LinksActor(this.context);
    this.inboundLinkEvents = linksActor.getInboundLinkEvents();
    this.spawnActors(linksActor);
    this.pauseDetector = new PauseDetector(
      {intervalMs: PAUSE_CHECK_MS, thresholdMs: PAUSE_THRESHOLD_MS},
      pausedMs => this.verifyAfterPause(pausedMs),
    );
  }

  /**
   * Starts listening for peers, joins the mesh and starts the periodic tasks.
   */
  async start(): Promise<void> {
    const {identity, random, timing, transport} = this.options;
    const {joinTimeoutMs, seedElectionMs} = timing;
    await transport.listen(identity.peerAddress, this.inboundLinkEvents);
    const {links, membership, reader, seeds} = this.context.directory;
    this.options.store.onRestored(() => seeds.send({kind: 'store-restored'}));
    membership.send({kind: 'flush'});
    this.tickTimer = setInterval(() => {
      links.send({kind: 'tick'});
      membership.send({kind: 'tick'});
      reader.send({kind: 'probe'});
    }, timing.heartbeatMs);
    setTimeout(() => this.readAtStart(), this.getStartReadDelayMs());
    const jitterMs = randomBetween(random, 0, timing.startJitterMs);
    setTimeout(() => seeds.send({kind: 'list'}), jitterMs);
    setTimeout(() => {
      this.context.readiness.expireJoinTimeout();
      if (!this.isReady() && !this.context.published.hasFoundNoSeed()) {
        reader.send({kind: 'read-once'});
      }
    }, joinTimeoutMs + jitterMs);
    setTimeout(
      () => membership.send({kind: 'enable-roles', isFirst: false}),
      joinTimeoutMs + seedElectionMs + jitterMs,
    );
    this.scheduleSilenceCheck();
    this.redialWhileStarting(performance.now() + START_WINDOW_MS);
    this.pauseDetector.start();
  }

  /** Stops without notifying the peers, as a crash would. */
  abort(): void {
    clearInterval(this.tickTimer);
    clearTimeout(this.silenceTimer);
    clearTimeout(this.redialTimer);
    this.pauseDetector.stop();
    stop(this.system);
  }

  /** Leaves the mesh gracefully and closes all links. */
  async stop(): Promise<void> {
    clearInterval(this.tickTimer);
    clearTimeout(this.silenceTimer);
    clearTimeout(this.redialTimer);
    this.pauseDetector.stop();
    this.updateOwnRecord({state: 'left', target: null});
    this.context.directory.seeds.send({kind: 'stop'});
    this.context.directory.reader.send({kind: 'set-role', isReader: false});
    await new Promise(resolve => setTimeout(resolve, STOP_GRACE_MS));
    await this.options.transport.close();
    stop(this.system);
  }

  /**
   * Announces that this member is draining; peers route no new requests to it.
   */
  beginDrain(): void {
    this.isDraining = true;
    this.updateOwnRecord({state: 'draining'});
  }

  /** Announces the local target; `null` withdraws it. */
  setTarget(target: TargetCapacity | null): void {
    this.updateOwnRecord({target});
  }

  /** The installed configuration. */
  getConfiguration(): PublishedConfiguration {
    return this.context.published.getConfiguration();
  }

  /** Whether a peer has announced a version that is not held yet. */
  hasNewerVersion(): boolean {
    const {published} = this.context;
    return published.getAnnouncedVersion() > published.getTip().version;
  }

  /** The newest known version, if it is not installed. */
  getSkippedVersion(): SkippedVersion | undefined {
    return this.context.published.getSkipped();
  }

  getMembership(): MembershipView {
    return this.context.published.getMembership();
  }

  /** Whether requests may be routed. */
  isReady(): boolean {
    this.pauseDetector.check();
    return this.context.readiness.isReady();
  }

  /**
   * Whether this process is verifying its configuration version after a pause.
   * Requests can wait for the result, which takes a bounded time.
   */
  isVerifying(): boolean {
    return this.context.readiness.isVerifying();
  }

  /** Resolves when requests may be routed. */
  whenReady(): Promise<void> {
    return this.context.readiness.whenReady();
  }

  /** Requests that are suspected of crashing targets. */
  getQuarantine(): Quarantine {
    return this.context.quarantine;
  }

  /**
   * Records that a request was in flight when a target crashed, and notifies
   * the peers. Returns the number of crashes recorded for the request.
   */
  reportCrash(
    serviceId: ServiceId,
    fingerprint: Fingerprint,
    ranAlone: boolean,
  ): number {
    const {quarantine, directory} = this.context;
    const crashCount = quarantine.recordCrash(fingerprint, ranAlone);
    directory.links.send({
      kind: 'broadcast',
      message: {
        kind: 'suspect-request',
        serviceId,
        fingerprint,
        crashCount,
        ttlMs: QUARANTINE_TTL_MS,
      },
      excludedLinkId: undefined,
    });
    return crashCount;
  }

  private spawnActors(linksActor: LinksActor): void {
    const {directory} = this.context;
    const {onFatal} = this.options;
    const {system, context} = this;
    directory.links.bind(spawnHandler(system, 'links', linksActor, onFatal));
    const replica = new ReplicaActor(context);
    directory.replica.bind(spawnHandler(system, 'replica', replica, onFatal));
    const reader = new ReaderActor(context);
    directory.reader.bind(spawnHandler(system, 'reader', reader, onFatal));
    const seeds = new SeedsActor(context);
    directory.seeds.bind(spawnHandler(system, 'seeds', seeds, onFatal));
    const membership = new MembershipActor(context);
    directory.membership.bind(
      spawnHandler(system, 'membership', membership, onFatal),
    );
  }

  private redialWhileStarting(untilMs: number): void {
    this.context.directory.links.send({kind: 'redial'});
    if (performance.now() >= untilMs) return;
    this.redialTimer = setTimeout(
      () => this.redialWhileStarting(untilMs),
      START_REDIAL_INTERVAL_MS,
    );
  }

  private getStartReadDelayMs(): number {
    const {identity, timing} = this.options;
    const {linkMbps = Infinity} = identity;
    return linkMbps < timing.slowLinkMbps
      ? timing.slowStartReadDelayMs
      : timing.startReadDelayMs;
  }

  // Without any registered seed the whole mesh has probably just started, so the
  // reads are spread, and the first daemon supplies the others.
  private readAtStart(): void {
    const {random, timing} = this.options;
    const {directory, published} = this.context;
    const delayMs = published.hasFoundNoSeed()
      ? randomBetween(random, 0, timing.seedElectionMs)
      : 0;
    setTimeout(() => directory.replica.send({kind: 'start-read-due'}), delayMs);
  }

  private scheduleSilenceCheck(): void {
    const {directory, published, sourceFreshness} = this.context;
    const rank = published.getPlan()?.readerRank ?? 0;
    const leftMs = sourceFreshness.getReadDueMs(rank) - performance.now();
    if (leftMs <= 0) directory.reader.send({kind: 'check-silence'});
    const delayMs = Math.max(
      MIN_SILENCE_CHECK_MS,
      Math.min(leftMs, this.options.timing.heartbeatMs),
    );
    this.silenceTimer = setTimeout(() => this.scheduleSilenceCheck(), delayMs);
  }

  private updateOwnRecord(change: OwnRecordChange): void {
    this.context.directory.membership.send({kind: 'update-own-record', change});
  }

  private announceServing(): void {
    const {published, versionTrace} = this.context;
    this.options.observer.log('info', COMPONENT, 'Ready to route requests.', {
      version: published.getConfiguration().state.version,
      newestVersion: published.getAnnouncedVersion(),
      behindMs: Math.round(versionTrace.getBehindMs()),
    });
    if (!this.isDraining) this.updateOwnRecord({state: 'serving'});
  }

  private verifyAfterPause(pausedMs: number): void {
    const {observer, timing} = this.options;
    observer.count('pause-noticed');
    const message = `Process was paused for ${Math.round(pausedMs)} ms. Verifying the configuration version.`;
    observer.log('warn', COMPONENT, message);
    this.context.readiness.beginVerifying();
    this.context.directory.links.send({kind: 'probe'});
    setTimeout(() => {
      if (!this.context.readiness.isVerifying()) return;
      observer.count('pause-unverified');
      this.context.readiness.endVerifying();
    }, timing.verifyTimeoutMs);
  }
}

/** Creates the dependencies of the actors, whose references are not bound yet. */
export function newControlContext(
  options: CoordinatorOptions,
  onReady: () => void,
): ControlContext {
  return {
    options,
    directory: newDirectory(),
    published: new PublishedState(),
    readiness: new Readiness({requiredPeers: REQUIRED_PEERS}, onReady),
    reportedVersions: new ReportedVersions(),
    quarantine: new Quarantine({
      crashLimit: CRASH_LIMIT,
      ttlMs: QUARANTINE_TTL_MS,
      maxEntries: MAX_QUARANTINE_ENTRIES,
    }),
    sourceFreshness: new SourceFreshness(
      {
        silenceMs: options.timing.sourceSilenceMs,
        relayStepMs: options.timing.heartbeatMs * RELAY_STEP_SHARE,
      },
      performance.now(),
    ),
    versionTrace: new VersionTrace(),
  };
}

function newDirectory(): ActorDirectory {
  return {
    links: new DeferredRef(),
    membership: new DeferredRef(),
    replica: new DeferredRef(),
    reader: new DeferredRef(),
    seeds: new DeferredRef(),
  };
}
