/** Rate of events with exponentially decaying weights. */

/** Counts events; older ones weigh less. */
export class DecayingRate {
  private weight = 0;
  private updatedAtMs = -Infinity;

  constructor(private readonly decayMs: number) {}

  record(nowMs: number): void {
    this.weight = this.getWeight(nowMs) + 1;
    this.updatedAtMs = nowMs;
  }

  /** Returns the events per millisecond. */
  getPerMs(nowMs: number): number {
    return this.getWeight(nowMs) / this.decayMs;
  }

  private getWeight(nowMs: number): number {
    if (this.weight === 0) return 0;
    const elapsedMs = Math.max(0, nowMs - this.updatedAtMs);
    return this.weight * Math.exp(-elapsedMs / this.decayMs);
  }
}
