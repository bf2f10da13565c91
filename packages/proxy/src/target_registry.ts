/**
 * Keeps the target beside this daemon: it announces itself, and its silence,
 * its withdrawal or a refused connection ends its session.
 */

import type {ServiceId, ServiceRecord} from '@cassiaknot/inventory';
import type {NotRunReason} from './outcome.js';
import type {TargetClient, TargetClientOptions} from './target_client.js';
import type {TargetAnnouncement} from './target_session.js';
import {TargetSession} from './target_session.js';
import {waitUntil} from './wait_until.js';

/** Collaborators of a {@link TargetRegistry}. */
export interface TargetRegistryOptions {
  /** Silence after which the target is taken for gone. */
  readonly silenceMs: number;
  readonly newClient: (options: TargetClientOptions) => TargetClient;
  /** Looks a service up in the configuration in force. */
  readonly findService: (id: ServiceId) => ServiceRecord | undefined;
  /** Called when a target appears (with it) or ends (without). */
  readonly onChange: (announcement: TargetAnnouncement | undefined) => void;
  /** Called when a target ends with the number of requests refused. */
  readonly onEnd: (reason: NotRunReason, waitingCount: number) => void;
}

const DEFAULT_QUEUE_LIMIT = 64;

/** Owns the session of the target. */
export class TargetRegistry {
  private session: TargetSession | undefined;
  private silenceTimer: NodeJS.Timeout | undefined;
  private isStopping = false;

  constructor(private readonly options: TargetRegistryOptions) {}

  /** Returns the session that takes requests, if there is one. */
  getSession(): TargetSession | undefined {
    return this.session?.isOpen() ? this.session : undefined;
  }

  /** Records that the target is there; returns `false` while stopping. */
  announce(announcement: TargetAnnouncement): boolean {
    if (this.isStopping) return false;
    const {silenceMs} = this.options;
    clearTimeout(this.silenceTimer);
    this.silenceTimer = setTimeout(() => this.end('target-gone'), silenceMs);
    const current = this.getSession();
    if (current && isSameTarget(current.announcement, announcement)) {
      current.setQueueLimit(this.getQueueLimit(announcement.serviceId));
      return true;
    }
    if (current) this.end('draining');
    this.open(announcement);
    return true;
  }

  /** Ends the session because no connection can be made. */
  markGone(session: TargetSession): void {
    if (this.session === session) this.end('target-gone');
  }

  /** Ends the session and resolves when no request runs any more. */
  async drain(timeoutMs: number): Promise<boolean> {
    const {session} = this;
    this.end('draining');
    if (!session) return true;
    return waitForRuns(session, timeoutMs);
  }

  /** Takes no target any more: the daemon is about to stop. */
  stop(): void {
    this.isStopping = true;
    this.end('draining');
  }

  private open(announcement: TargetAnnouncement): void {
    const {address, connections, serviceId} = announcement;
    const origin = `http://${address}`;
    const client = this.options.newClient({origin, connections});
    const queueLimit = this.getQueueLimit(serviceId);
    this.session = new TargetSession(announcement, client, queueLimit);
    this.options.onChange(announcement);
  }

  private end(reason: NotRunReason): void {
    const {session} = this;
    if (!session?.isOpen()) return;
    clearTimeout(this.silenceTimer);
    const waitingCount = session.queue.getWaitingCount();
    session.close(reason);
    void releaseClient(session);
    this.options.onEnd(reason, waitingCount);
    this.options.onChange(undefined);
  }

  private getQueueLimit(serviceId: ServiceId): number {
    return (
      this.options.findService(serviceId)?.queueLimit ?? DEFAULT_QUEUE_LIMIT
    );
  }
}

function waitForRuns(
  {queue}: TargetSession,
  timeoutMs: number,
): Promise<boolean> {
  return waitUntil(() => queue.getRunningCount() === 0, timeoutMs);
}

/** Closes the connections of an ended session when nothing runs any more. */
async function releaseClient(session: TargetSession): Promise<void> {
  // Every run ends by its deadline, so the wait needs no limit of its own.
  await waitForRuns(session, Number.POSITIVE_INFINITY);
  await session.client.close();
}

function isSameTarget(
  left: TargetAnnouncement,
  right: TargetAnnouncement,
): boolean {
  return (
    left.serviceId === right.serviceId &&
    left.address === right.address &&
    left.slots === right.slots &&
    left.connections === right.connections
  );
}
