/** Structured log of decisions, rate-limited per kind of decision. */

import type {LogLevel} from '@cassiaknot/coordination';
import type {LogFields} from '@cassiaknot/relay';
import type {Logger} from 'winston';
import {createLogger, format, transports} from 'winston';
import type {BoundedOutput} from './bounded_output.js';

/** Settings of a {@link DecisionLog}. */
export interface DecisionLogOptions {
  readonly level: LogLevel;
  readonly instanceId: string;
  readonly output: BoundedOutput;
}

interface RateWindow {
  windowStartMs: number;
  lineCount: number;
  suppressed: number;
}

const WINDOW_MS = 1_000;
/** Lines per second of one kind: about one per request on a busy instance. */
const MAX_LINES_PER_WINDOW = 60;

/** Writes decisions as JSON lines. */
export class DecisionLog {
  private readonly logger: Logger;
  private readonly rateWindows = new Map<string, RateWindow>();

  constructor(private readonly options: DecisionLogOptions) {
    this.logger = createLogger({
      level: options.level,
      format: format.combine(format.timestamp(), format.json()),
      defaultMeta: {instance: options.instanceId},
      transports: [new transports.Stream({stream: options.output})],
    });
  }

  /** Writes one line unless its kind exceeds the rate limit. */
  write(
    level: LogLevel,
    component: string,
    message: string,
    fields: LogFields = {},
  ): void {
    if (!this.logger.isLevelEnabled(level)) return;
    // Messages that share their first 24 characters count as one kind.
    const kind = `${component}/${level}/${message.slice(0, 24)}`;
    const rateWindow = this.getRateWindow(kind);
    if (rateWindow.lineCount >= MAX_LINES_PER_WINDOW) {
      rateWindow.suppressed += 1;
      return;
    }
    rateWindow.lineCount += 1;
    this.logger.log({level, message, part: component, ...fields});
  }

  /** Writes the buffered lines; called before the process exits. */
  async flush(timeoutMs: number): Promise<void> {
    await this.options.output.flush(timeoutMs);
  }

  private getRateWindow(kind: string): RateWindow {
    const nowMs = performance.now();
    let rateWindow = this.rateWindows.get(kind);
    if (!rateWindow) {
      rateWindow = {windowStartMs: nowMs, lineCount: 0, suppressed: 0};
      this.rateWindows.set(kind, rateWindow);
    }
    if (nowMs - rateWindow.windowStartMs < WINDOW_MS) return rateWindow;
    const {suppressed} = rateWindow;
    rateWindow.windowStartMs = nowMs;
    rateWindow.lineCount = 0;
    rateWindow.suppressed = 0;
    if (suppressed > 0) {
      this.logger.log({
        level: 'warn',
        message: 'suppressed',
        part: 'log',
        kind,
        suppressed,
      });
    }
    return rateWindow;
  }
}
