/**
 * Graceful shutdown of a daemon. The target may keep running, and callers keep
 * sending requests until the platform has seen the readiness checks fail. Both
 * are served until then; the gate closes only afterwards.
 */

/** Operations of the daemon that a shutdown calls. */
export interface ShutdownHooks {
  /**
   * Announces to the other members that this one is about to stop. Requests that may
   * run for longer than until the given time are not started any more.
   */
  beginDrain(serveUntilMs: number): void;
  /** Refuses new requests for the target. */
  closeGate(): void;
  /**
   * Asks callers to close their connections after the current request. Requests that
   * may not be complete at the given time are refused from now on.
   */
  drainCallerConnections(serveUntilMs: number): void;
  /**
   * Reads what has arrived on all connections, new ones included, until the given time
   * at most.
   */
  readArrived(untilMs: number): Promise<void>;
  /** Stops accepting connections and closes those without a request. */
  stopAccepting(): void;
  /** Refuses all requests from now on. */
  refuseRequests(): void;
  /** Requests in flight, both from callers and at the target. */
  getInFlightCount(): number;
  /** Ends the connections of requests in flight, so that they look cut. */
  abortInFlight(): void;
  /** Time since the last request from a caller. */
  getCallerIdleMs(): number;
}

/** Covers two failed readiness checks one second apart, with a margin. */
const READINESS_PROPAGATION_MS = 2_300;
/** Time without a request after which callers are considered gone. */
const IDLE_MS = 250;
/**
 * Connections are accepted at most until this time after the start of the
 * shutdown, so that their requests can complete.
 */
const ACCEPT_DEADLINE_MS = 3_300;
/** Time after that in which connections that wait to be accepted are still read. */
const ACCEPT_READ_MS = 1_000;
/**
 * Reserved at the end of the grace period for the last writes: leaving the mesh
 * and flushing the log.
 */
const FINAL_WRITE_RESERVE_MS = 600;
/** Reserved before that for writing the last responses. */
const LAST_RESPONSE_RESERVE_MS = 100;
/** Part of the final reserve in which responses that have arrived are still written. */
const LATE_RESPONSE_MS = 150;
const POLL_INTERVAL_MS = 50;
const LATE_POLL_INTERVAL_MS = 10;
/** Polls after the deadline, however late the event loop is. */
const MIN_LATE_POLLS = 3;

/** Runs the shutdown; `false` if requests were still in flight at the end. */
export async function shutDownGracefully(
  hooks: ShutdownHooks,
  gracePeriodMs: number,
): Promise<boolean> {
  const startMs = performance.now();
  const getElapsedMs = () => performance.now() - startMs;
  const deadlineMs = gracePeriodMs - FINAL_WRITE_RESERVE_MS;
  const serveUntilMs = startMs + deadlineMs - LAST_RESPONSE_RESERVE_MS;
  hooks.beginDrain(serveUntilMs);
  await sleep(READINESS_PROPAGATION_MS);
  hooks.closeGate();
  hooks.drainCallerConnections(serveUntilMs);
  // Keeps running to refuse the offers that entries send before they learn that
  // the gate has closed.
  const acceptUntilMs =
    startMs + Math.min(deadlineMs, ACCEPT_DEADLINE_MS + ACCEPT_READ_MS);
  await sleepAndRead(hooks, IDLE_MS, acceptUntilMs);
  while (getElapsedMs() < ACCEPT_DEADLINE_MS && !areCallersIdle(hooks)) {
    await sleepAndRead(hooks, POLL_INTERVAL_MS, acceptUntilMs);
  }
  hooks.stopAccepting();
  const readUntilMs = startMs + deadlineMs;
  while (hooks.getInFlightCount() > 0 && getElapsedMs() < deadlineMs) {
    await sleepAndRead(hooks, POLL_INTERVAL_MS, readUntilMs);
  }
  // A late event loop may hold responses that arrived in time.
  for (let polls = 0; hooks.getInFlightCount() > 0; polls += 1) {
    const isOver = getElapsedMs() >= deadlineMs + LATE_RESPONSE_MS;
    if (isOver && polls >= MIN_LATE_POLLS) break;
    await sleepAndRead(hooks, LATE_POLL_INTERVAL_MS, readUntilMs);
  }
  const isGraceful = hooks.getInFlightCount() === 0;
  hooks.refuseRequests();
  if (!isGraceful) hooks.abortInFlight();
  return isGraceful;
}

function areCallersIdle(hooks: ShutdownHooks): boolean {
  return hooks.getInFlightCount() === 0 && hooks.getCallerIdleMs() >= IDLE_MS;
}

// A late event loop runs timers before it reads what arrived meanwhile.
async function sleepAndRead(
  hooks: ShutdownHooks,
  delayMs: number,
  untilMs: number,
): Promise<void> {
  await sleep(delayMs);
  await hooks.readArrived(untilMs);
}

function sleep(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}
