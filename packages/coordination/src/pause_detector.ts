/** Notices that this process was paused: its timer fired far too late. */

/** Bounds of a {@link PauseDetector}. */
export interface PauseDetectorOptions {
  readonly intervalMs: number;
  /** A beat later than this means that the process was paused. */
  readonly thresholdMs: number;
}

/** Compares the gap between two beats with the interval set for them. */
export class PauseDetector {
  private timer: NodeJS.Timeout | undefined;
  private lastBeatMs = 0;

  constructor(
    private readonly options: PauseDetectorOptions,
    private readonly onPause: (pausedMs: number) => void,
  ) {}

  /** Starts the beat. */
  start(): void {
    this.lastBeatMs = performance.now();
    this.timer = setInterval(() => this.check(), this.options.intervalMs);
  }

  /** Stops the beat. */
  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Compares now with the last beat. May be called at any time, so that the
   * first request after a pause finds it even before the timer does.
   */
  check(): void {
    const nowMs = performance.now();
    const gapMs = nowMs - this.lastBeatMs;
    this.lastBeatMs = nowMs;
    if (gapMs > this.options.thresholdMs) this.onPause(gapMs);
  }
}
