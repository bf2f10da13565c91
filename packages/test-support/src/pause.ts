/** Waits on the runtime's clock. */

/** Resolves after a time. */
export function pause(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
