/** One structured line per decision, at a bounded rate per kind of decision. */

import type {LogLevel} from '@cassiaknot/coordination';
import type {DecisionFields} from '@cassiaknot/relay';
import type {Logger} from 'winston';
import {createLogger, format, transports} from 'winston';
import type {BoundedOutput} from './bounded_output.js';

/** Settings of a {@link DecisionLog}. */
export interface DecisionLogOptions {
  readonly level: LogLevel;
  readonly instanceId: string;
  readonly output: BoundedOutput;
}

interface Allowance {
  windowStartMs: number;
  lines: number;
  suppressed: number;
}

const WINDOW_MS = 1_000;
/** Lines per second of one kind, about a request each on a busy machine. */
const MAX_LINES_PER_WINDOW = 60;

/** Writes decisions. */
export class DecisionLog {
  private readonly logger: Logger;
  private readonly allowances = new Map<string, Allowance>();

  constructor(private readonly options: DecisionLogOptions) {
    this.logger = createLogger({
      level: options.level,
      format: format.combine(format.timestamp(), format.json()),
      defaultMeta: {instance: options.instanceId},
      transports: [new transports.Stream({stream: options.output})],
    });
  }

  /** Writes one line unless lines of its kind come too fast. */
  write(
    level: LogLevel,
    part: string,
    message: string,
    fields: DecisionFields = {},
  ): void {
    if (!this.logger.isLevelEnabled(level)) return;
    const kind = `${part}/${level}/${message.slice(0, 24)}`;
    const allowance = this.getAllowance(kind);
    if (allowance.lines >= MAX_LINES_PER_WINDOW) {
      allowance.suppressed += 1;
      return;
    }
    allowance.lines += 1;
    this.logger.log({level, message, part, ...fields});
  }

  /** Writes what waits; the process ends after it. */
  async close(timeoutMs: number): Promise<void> {
    await this.options.output.drain(timeoutMs);
  }

  private getAllowance(kind: string): Allowance {
    const nowMs = performance.now();
    let allowance = this.allowances.get(kind);
    if (!allowance) {
      allowance = {windowStartMs: nowMs, lines: 0, suppressed: 0};
      this.allowances.set(kind, allowance);
    }
    if (nowMs - allowance.windowStartMs < WINDOW_MS) return allowance;
    const {suppressed} = allowance;
    allowance.windowStartMs = nowMs;
    allowance.lines = 0;
    allowance.suppressed = 0;
    if (suppressed > 0) {
      this.logger.log({
        level: 'warn',
        message: 'suppressed',
        part: 'log',
        kind,
        suppressed,
      });
    }
    return allowance;
  }
}
