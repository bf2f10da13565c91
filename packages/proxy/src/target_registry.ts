/**
 * Tracks the local target of this daemon. The target announces itself
 * periodically; its session ends when the announcements cease, when the target
 * is withdrawn or when connecting to it fails.
 */

import type {ServiceId, ServiceRecord} from '@cassiaknot/inventory';
import type {NotRunReason} from './outcome.js';
import type {ProxyTargetClient, TargetClientOptions} from './target_client.js';
import type {TargetAnnouncement} from './target_session.js';
import {ProxyTargetSession} from './target_session.js';
import {waitUntil} from './wait_until.js';

/** Dependencies of a {@link TargetRegistry}. */
export interface TargetRegistryOptions {
  /** Time without an announcement after which the target counts as gone. */
  readonly heartbeatTimeoutMs: number;
  readonly newClient: (options: TargetClientOptions) => ProxyTargetClient;
  /** Looks up a service in the active configuration. */
  readonly findService: (id: ServiceId) => ServiceRecord | undefined;
  /** Called with a new target, or with undefined when its session ends. */
  readonly onTargetChange: (
    announcement: TargetAnnouncement | undefined,
  ) => void;
  /** Called when a session ends, with the number of refused queued requests. */
  readonly onSessionEnd: (reason: NotRunReason, waitingCount: number) => void;
}

/** Queue limit while the service is missing from the configuration. */
const DEFAULT_QUEUE_LIMIT = 64;

/** Owns the session of the local target. */
export class TargetRegistry {
  private session: ProxyTargetSession | undefined;
  private heartbeatTimer: NodeJS.Timeout | undefined;
  private isStopping = false;

  constructor(private readonly options: TargetRegistryOptions) {}

  /** Returns the session if it accepts requests. */
  getSession(): ProxyTargetSession | undefined {
    return this.session?.isOpen() ? this.session : undefined;
  }

  /** Records an announcement; returns `false` while stopping. */
  announce(announcement: TargetAnnouncement): boolean {
    if (this.isStopping) return false;
    const {heartbeatTimeoutMs} = this.options;
    clearTimeout(this.heartbeatTimer);
    this.heartbeatTimer = setTimeout(
      () => this.endSession('target-gone'),
      heartbeatTimeoutMs,
    );
    const current = this.getSession();
    if (current && isSameTarget(current.announcement, announcement)) {
      current.setQueueLimit(this.getQueueLimit(announcement.serviceId));
      return true;
    }
    if (current) this.endSession('draining');
    this.openSession(announcement);
    return true;
  }

  /** Ends the session after a connection to its target failed. */
  handleConnectFailure(session: ProxyTargetSession): void {
    if (this.session === session) this.endSession('target-gone');
  }

  /** Ends the session; resolves with whether its requests completed in time. */
  async drain(timeoutMs: number): Promise<boolean> {
    const {session} = this;
    this.endSession('draining');
    if (!session) return true;
    return waitForInFlight(session, timeoutMs);
  }

  /** Ends the session and rejects further announcements during shutdown. */
  stop(): void {
    this.isStopping = true;
    this.endSession('draining');
  }

  private openSession(announcement: TargetAnnouncement): void {
    const {address, connections, serviceId} = announcement;
    const origin = `http://${address}`;
    const client = this.options.newClient({origin, connections});
    const queueLimit = this.getQueueLimit(serviceId);
    this.session = new ProxyTargetSession(announcement, client, queueLimit);
    this.options.onTargetChange(announcement);
  }

  private endSession(reason: NotRunReason): void {
    const {session} = this;
    if (!session?.isOpen()) return;
    clearTimeout(this.heartbeatTimer);
    const waitingCount = session.queue.getWaitingCount();
    session.close(reason);
    void closeClientWhenIdle(session);
    this.options.onSessionEnd(reason, waitingCount);
    this.options.onTargetChange(undefined);
  }

  private getQueueLimit(serviceId: ServiceId): number {
    return (
      this.options.findService(serviceId)?.queueLimit ?? DEFAULT_QUEUE_LIMIT
    );
  }
}

function waitForInFlight(
  {queue}: ProxyTargetSession,
  timeoutMs: number,
): Promise<boolean> {
  return waitUntil(() => queue.getRunningCount() === 0, timeoutMs);
}

/** Closes the connections of an ended session once its requests completed. */
async function closeClientWhenIdle(session: ProxyTargetSession): Promise<void> {
  // Every request ends by its deadline, so the wait needs no timeout.
  await waitForInFlight(session, Number.POSITIVE_INFINITY);
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
