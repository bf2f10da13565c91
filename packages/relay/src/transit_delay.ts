/**
 * Estimates the delay of frames on one link without synchronised clocks. Each
 * frame carries the sender's steady clock. The difference to the receiver's clock
 * is an unknown constant plus the delay, so the excess over the smallest recent
 * difference is the time that the frame spent waiting: in the sender's buffer, on
 * the way, or behind other work of the receiver.
 */

/** Most by which two clocks drift apart within the windows. */
const DRIFT_TOLERANCE_MS = 20;
/** The smallest difference is taken over one to two of these windows. */
const WINDOW_MS = 30_000;

/**
 * Clock of a sender. It stands still while its machine is suspended; receivers
 * then take all frames for late until the epoch changes.
 */
export class SendClock {
  private epoch = 0;

  /** Returns the fields of a frame that is sent now. */
  read(): {sentAtMs: number; clockEpoch: number} {
    return {sentAtMs: performance.now(), clockEpoch: this.epoch};
  }

  /**
   * Starts a new epoch if a receiver reports a delay that is longer than the round
   * trip of the frame.
   */
  checkReportedDelay(
    reportedTransitMs: number,
    sentAtMs: number,
    epoch: number,
  ): void {
    const roundTripMs = performance.now() - sentAtMs;
    if (epoch !== this.epoch) return;
    if (reportedTransitMs > roundTripMs + DRIFT_TOLERANCE_MS) this.epoch += 1;
  }
}

/** Delay of the frames of one link beyond that of the fastest one. */
export class TransitDelay {
  private epoch = 0;
  private windowStartMs = 0;
  private smallestMs = Infinity;
  private previousSmallestMs = Infinity;

  /** Records a frame and returns its delay beyond that of the fastest one. */
  record(sentAtMs: number, receivedAtMs: number, epoch: number): number {
    if (epoch !== this.epoch) {
      this.epoch = epoch;
      this.smallestMs = Infinity;
      this.previousSmallestMs = Infinity;
    }
    // Clocks drift apart slowly, so old differences expire.
    if (receivedAtMs - this.windowStartMs > WINDOW_MS) {
      this.windowStartMs = receivedAtMs;
      this.previousSmallestMs = this.smallestMs;
      this.smallestMs = Infinity;
    }
    const differenceMs = receivedAtMs - sentAtMs;
    this.smallestMs = Math.min(this.smallestMs, differenceMs);
    return differenceMs - Math.min(this.smallestMs, this.previousSmallestMs);
  }
}
