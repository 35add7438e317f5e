import type { Logger } from 'winston';
import { createLogger as createWinstonLogger, format, transports } from 'winston';

export type { Logger } from 'winston';

export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** Options of `createLogger`. */
export interface LoggerOptions {
  /** Lowest level that is written. Default `info`. */
  level?: LogLevel;
  /** Fields on every line, for example the instance id. */
  fields?: Record<string, string>;
  /** Writes nothing when true. Default false. */
  silent?: boolean;
}

/** Creates a logger that writes one JSON object per line on standard error. */
export function createLogger(options: LoggerOptions = {}): Logger {
  return createWinstonLogger({
    level: options.level ?? 'info',
    silent: options.silent ?? false,
    defaultMeta: options.fields,
    format: format.combine(format.timestamp(), format.json()),
    transports: [new transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] })],
  });
}
