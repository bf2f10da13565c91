/** Polls for a condition. */

const POLL_MS = 20;

/** Resolves with `true` when a condition holds, with `false` after a limit. */
export async function waitUntil(
  condition: () => boolean,
  timeoutMs: number,
): Promise<boolean> {
  const endsAtMs = performance.now() + timeoutMs;
  while (!condition()) {
    if (performance.now() > endsAtMs) return false;
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
  return true;
}
