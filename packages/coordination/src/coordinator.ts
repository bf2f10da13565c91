/**
 * The control plane of one daemon: a replica of the configuration, the
 * membership, the overlay and the reader and seed roles.
 */

import type {ActorSystemRef} from 'nact';
import {start, stop} from 'nact';
import type {Fingerprint, TargetCapacity} from '@cassiaknot/peer-protocol';
import type {ServiceId} from '@cassiaknot/inventory';
import type {ActorDirectory, OwnRecordChange} from './actors/actor_messages.js';
import {LateRef, spawnHandler} from './actors/actor_support.js';
import type {ControlContext} from './actors/control_context.js';
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
import {VersionBook} from './version_book.js';

const WANTED_PEERS = 3;
const PAUSE_CHECK_MS = 500;
const PAUSE_THRESHOLD_MS = 2_000;
const CRASH_LIMIT = 2;
const MAX_QUARANTINED = 10_000;
const STOP_GRACE_MS = 100;
const PART = 'coordinator';

/** Runs the control plane and publishes what it knows. */
export class Coordinator {
  private readonly context: ControlContext;
  private readonly system: ActorSystemRef;
  private readonly acceptEvents;
  private readonly pauseDetector: PauseDetector;
  private tickTimer: NodeJS.Timeout | undefined;
  private isDraining = false;

  constructor(private readonly options: CoordinatorOptions) {
    this.context = newControlContext(options, () => this.announceServing());
    this.system = start();
    const linksActor = new LinksActor(this.context);
    this.acceptEvents = linksActor.getAcceptEvents();
    this.spawnAll(linksActor);
    this.pauseDetector = new PauseDetector(
      {intervalMs: PAUSE_CHECK_MS, thresholdMs: PAUSE_THRESHOLD_MS},
      pausedMs => this.verifyAfterPause(pausedMs),
    );
  }

  /** Accepts links, joins the mesh and starts the periodic work. */
  async start(): Promise<void> {
    const {identity, random, timing, transport} = this.options;
    await transport.listen(identity.peerAddress, this.acceptEvents);
    const {links, membership, reader, seeds} = this.context.directory;
    membership.send({kind: 'flush'});
    this.tickTimer = setInterval(() => {
      links.send({kind: 'tick'});
      membership.send({kind: 'tick'});
    }, timing.heartbeatMs);
    if (this.options.overlay.readsStoreAtStart) {
      reader.send({kind: 'read-once'});
    }
    const jitterMs = randomBetween(random, 0, timing.startJitterMs);
    setTimeout(() => seeds.send({kind: 'list'}), jitterMs);
    setTimeout(() => {
      this.context.readiness.stopWaiting();
      membership.send({kind: 'settle'});
      if (!this.isReady()) reader.send({kind: 'read-once'});
    }, timing.joinTimeoutMs + jitterMs);
    this.pauseDetector.start();
  }

  /** Ends without a word to the peers, as a crash does. */
  abandon(): void {
    clearInterval(this.tickTimer);
    this.pauseDetector.stop();
    stop(this.system);
  }

  /** Leaves the mesh and ends all links. */
  async stop(): Promise<void> {
    clearInterval(this.tickTimer);
    this.pauseDetector.stop();
    this.changeOwnRecord({state: 'left', target: null});
    this.context.directory.seeds.send({kind: 'stop'});
    this.context.directory.reader.send({kind: 'set-role', isReader: false});
    await new Promise(resolve => setTimeout(resolve, STOP_GRACE_MS));
    await this.options.transport.close();
    stop(this.system);
  }

  /** Announces that this member will stop; its target takes no new work. */
  beginDrain(): void {
    this.isDraining = true;
    this.changeOwnRecord({state: 'draining'});
  }

  /** Announces the target beside this daemon, or with `null` its absence. */
  setTarget(target: TargetCapacity | null): void {
    this.changeOwnRecord({target});
  }

  /** The configuration in force. */
  getConfiguration(): PublishedConfiguration {
    return this.context.published.getConfiguration();
  }

  /** The newest version, if it is known but not in force. */
  getSkippedVersion(): SkippedVersion | undefined {
    return this.context.published.getSkipped();
  }

  /** The members known. */
  getMembership(): MembershipView {
    return this.context.published.getMembership();
  }

  /** Whether requests may be routed. */
  isReady(): boolean {
    this.pauseDetector.check();
    return this.context.readiness.isReady();
  }

  /** Whether requests may be routed shortly, after a pause. */
  isVerifying(): boolean {
    return this.context.readiness.isVerifying();
  }

  /** Resolves when requests may be routed. */
  whenReady(): Promise<void> {
    return this.context.readiness.whenReady();
  }

  /** Requests under suspicion of crashing targets. */
  getQuarantine(): Quarantine {
    return this.context.quarantine;
  }

  /** Records a request in flight at a crash and tells the peers. */
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
      exceptLinkId: undefined,
    });
    return crashCount;
  }

  private spawnAll(linksActor: LinksActor): void {
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

  private changeOwnRecord(change: OwnRecordChange): void {
    this.context.directory.membership.send({kind: 'set-own', change});
  }

  private announceServing(): void {
    this.options.observer.log('info', PART, 'Ready to route requests.');
    if (!this.isDraining) this.changeOwnRecord({state: 'serving'});
  }

  private verifyAfterPause(pausedMs: number): void {
    const {observer, timing} = this.options;
    observer.count('pause-noticed');
    const sentence = `Was paused for ${Math.round(pausedMs)} ms. Verifying.`;
    observer.log('warn', PART, sentence);
    this.context.readiness.beginVerifying();
    this.context.directory.links.send({kind: 'probe'});
    setTimeout(() => {
      if (!this.context.readiness.isVerifying()) return;
      observer.count('pause-unverified');
      this.context.readiness.stopVerifying();
    }, timing.verifyTimeoutMs);
  }
}

function newControlContext(
  options: CoordinatorOptions,
  onReady: () => void,
): ControlContext {
  return {
    options,
    directory: newDirectory(),
    published: new PublishedState(),
    readiness: new Readiness({wantedPeers: WANTED_PEERS}, onReady),
    versionBook: new VersionBook(),
    quarantine: new Quarantine({
      crashLimit: CRASH_LIMIT,
      ttlMs: QUARANTINE_TTL_MS,
      maxEntries: MAX_QUARANTINED,
    }),
  };
}

function newDirectory(): ActorDirectory {
  return {
    links: new LateRef(),
    membership: new LateRef(),
    replica: new LateRef(),
    reader: new LateRef(),
    seeds: new LateRef(),
  };
}
