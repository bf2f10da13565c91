/** Refusals of one request because its workspace exceeds its fair share. */

/** Offers that a request may still make after the first such refusal. */
const OFFERS_AFTER_REFUSAL = 1;

/**
 * Limits the offers of a request whose workspace exceeds its share. All gates divide
 * their slots alike, so a further offer rarely succeeds, and costs both sides.
 */
export class ShareRefusals {
  private count = 0;
  private offersLeft = Infinity;
  private shortestWaitMs = Infinity;

  /** Records an offer that is about to be made. */
  recordOffer(): void {
    this.offersLeft -= 1;
  }

  /** Records a refusal with the wait that the gate has named. */
  recordRefusal(waitMs: number): void {
    if (this.count === 0) this.offersLeft = OFFERS_AFTER_REFUSAL;
    this.count += 1;
    this.shortestWaitMs = Math.min(this.shortestWaitMs, waitMs);
  }

  /** Whether the request may be offered to a further gate. */
  mayOffer(): boolean {
    return this.offersLeft > 0;
  }

  /**
   * Leaves out the gates of the own data centre after a refusal, if there are others:
   * its entries load its gates alike, so that the level is alike there too.
   */
  selectCandidates<E extends {readonly isSameDataCentre: boolean}>(
    estimates: readonly E[],
  ): readonly E[] {
    if (this.count === 0) return estimates;
    const remote = estimates.filter(estimate => !estimate.isSameDataCentre);
    return remote.length > 0 ? remote : estimates;
  }

  getCount(): number {
    return this.count;
  }

  /** Returns the shortest wait that a gate has named. */
  getWaitMs(): number {
    return this.shortestWaitMs;
  }
}
