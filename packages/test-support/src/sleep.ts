/** Waits on the runtime's clock. */

/** Resolves after the given time. */
export function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
