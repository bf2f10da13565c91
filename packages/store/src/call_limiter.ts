/** Decides which calls are sent. */

/** Admits calls and learns from their answers. */
export interface CallLimiter {
  /** Takes the right to one call; its end must be recorded once. */
  tryTake(): boolean;
  /** Ends a call and learns how long it took and whether it was answered. */
  recordAnswer(latencyMs: number, isAnswered: boolean): void;
  /** Ends a call whose latency says nothing about the callee. */
  recordUnmeasured(): void;
}
