/** Waits for a condition by polling. */

const POLL_MS = 20;

/** Resolves with `true` once a condition holds, or `false` on a timeout. */
export async function waitUntil(
  condition: () => boolean,
  timeoutMs: number,
): Promise<boolean> {
  const deadlineMs = performance.now() + timeoutMs;
  while (!condition()) {
    if (performance.now() > deadlineMs) return false;
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
  return true;
}
