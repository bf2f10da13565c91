/**
 * The planned stop of a daemon. Its target may live on, and its callers keep
 * coming until their platform has seen the readiness fail; so both are served
 * until then, and the gate closes only afterwards.
 */

/** What a stop acts on. */
export interface StoppableParts {
  /** Hands roles to other members. */
  beginDrain(): void;
  /** Refuses new requests for the target. */
  closeGate(): void;
  /** Asks callers to send no more requests on their connections. */
  releaseCallers(): void;
  /** Accepts no more connections. */
  stopAccepting(): void;
  /** Requests from callers and runs at the target that are not finished. */
  countOpenRequests(): number;
  /** Time since a caller sent a request. */
  getCallerIdleMs(): number;
}

/** Two readiness checks a second apart have to fail, with some margin. */
const LEAVE_ROTATION_MS = 2_300;
/** Quiet time after which nobody is taken to come any more. */
const QUIET_MS = 250;
/** Last moment for new connections, for their requests to end in time. */
const ACCEPT_UNTIL_MS = 3_300;
/** Time left for the last writes when the grace period ends. */
const RESERVE_MS = 600;
const POLL_MS = 50;

/** Stops the parts; `false` if requests were still open at the end. */
export async function runStopSequence(
  parts: StoppableParts,
  graceMs: number,
): Promise<boolean> {
  const beganMs = performance.now();
  const getElapsedMs = () => performance.now() - beganMs;
  parts.beginDrain();
  await pause(LEAVE_ROTATION_MS);
  parts.closeGate();
  parts.releaseCallers();
  // Offers that were sent before the entries learned of it are still refused.
  await pause(QUIET_MS);
  while (getElapsedMs() < ACCEPT_UNTIL_MS && !isQuiet(parts)) {
    await pause(POLL_MS);
  }
  parts.stopAccepting();
  const endMs = graceMs - RESERVE_MS;
  while (parts.countOpenRequests() > 0 && getElapsedMs() < endMs) {
    await pause(POLL_MS);
  }
  return parts.countOpenRequests() === 0;
}

function isQuiet(parts: StoppableParts): boolean {
  return parts.countOpenRequests() === 0 && parts.getCallerIdleMs() >= QUIET_MS;
}

function pause(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}
