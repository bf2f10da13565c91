/** Admits or refuses calls, and may adapt to their latency and failures. */
export interface CallLimiter {
  /** Admits one call if the limit allows; its end must be recorded once. */
  tryAcquire(): boolean;
  /** Records the end of a call, its latency and whether it got a response. */
  recordCompletion(latencyMs: number, hasResponse: boolean): void;
  /**
   * Stops counting a call as in flight and ignores its outcome, where its
   * latency does not reflect server load.
   */
  recordIgnored(): void;
}
