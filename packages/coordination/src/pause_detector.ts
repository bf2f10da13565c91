/** Detects that this process was paused, because its timer fired late. */

export interface PauseDetectorOptions {
  readonly intervalMs: number;
  /** Time between two checks above which the process was paused. */
  readonly thresholdMs: number;
}

/** Reports a pause when two checks are further apart than the threshold. */
export class PauseDetector {
  private timer: NodeJS.Timeout | undefined;
  private lastCheckMs = 0;

  constructor(
    private readonly options: PauseDetectorOptions,
    private readonly onPause: (pausedMs: number) => void,
  ) {}

  start(): void {
    this.lastCheckMs = performance.now();
    this.timer = setInterval(() => this.check(), this.options.intervalMs);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Compares the current time with the last check. It may also be called
   * between timer events, so that the first request after a pause detects it
   * before the timer fires.
   */
  check(): void {
    const nowMs = performance.now();
    const gapMs = nowMs - this.lastCheckMs;
    this.lastCheckMs = nowMs;
    if (gapMs > this.options.thresholdMs) this.onPause(gapMs);
  }
}
