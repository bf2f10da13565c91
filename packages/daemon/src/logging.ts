/** Logs: one line per event, a fixed prefix per part, a short sentence. */

import {createLogger, format, transports} from 'winston';
import type {LogLevel} from '@cassiaknot/coordination';

/** Writes log lines. */
export interface Log {
  write(level: LogLevel, part: string, message: string): void;
}

/** Level and form of the log. */
export interface LogOptions {
  readonly level: LogLevel;
  readonly format: 'text' | 'json';
  readonly instanceId: string;
}

/** Makes a log that goes to standard error. */
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
    write: (level, part, message) => {
      logger.log({level, message, part});
    },
  };
}

function newTextFormat() {
  return format.printf(info => {
    const {timestamp, level, part, message, instanceId} = info;
    const head = `${String(timestamp)} ${level} ${String(instanceId)}`;
    return `${head} ${String(part)}: ${String(message)}`;
  });
}
