/** Text or JSON log with one line per event, tagged by component. */

import {createLogger, format, transports} from 'winston';
import type {LogLevel} from '@cassiaknot/coordination';

/** Writes log lines. */
export interface Log {
  write(level: LogLevel, component: string, message: string): void;
}

/** Settings of a {@link Log}. */
export interface LogOptions {
  readonly level: LogLevel;
  readonly format: 'text' | 'json';
  readonly instanceId: string;
}

/** Creates a log that writes to standard error. */
export function newLog(options: LogOptions): Log {
  const logger = createLogger({
    level: options.level,
    format: format.combine(
      format.timestamp(),
      options.format === 'json' ? format.json() : newTextFormat(),
    ),
    defaultMeta: {instanceId: options.instanceId},
    transports: [
      new transports.Console({
        stderrLevels: ['error', 'warn', 'info', 'debug'],
      }),
    ],
  });
  return {
    write: (level, component, message) => {
      logger.log({level, message, part: component});
    },
  };
}

function newTextFormat() {
  return format.printf(info => {
    const {timestamp, level, part, message, instanceId} = info;
    const prefix = `${String(timestamp)} ${level} ${String(instanceId)}`;
    return `${prefix} ${String(part)}: ${String(message)}`;
  });
}
