/** Logs by consola: lines only for changes of state, never a key, a prompt or an answer. */
import type { ConsolaInstance, LogObject } from 'consola';
import { createConsola, LogLevels } from 'consola';

/** Levels that settings may name; `trace` also prints a line for each message between processes. */
export const LOG_LEVELS = ['error', 'warn', 'info', 'debug', 'trace'] as const;
/** One of the levels that settings may name. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/** How lines are written. */
export const LOG_FORMATS = ['text', 'json'] as const;
/** One of the ways lines are written. */
export type LogFormat = (typeof LOG_FORMATS)[number];

/** Fields that a line may carry. */
export type LogFields = {
  readonly request?: string;
  readonly group?: string;
  readonly host?: string;
  readonly epoch?: number;
  readonly revision?: number;
  readonly [field: string]: string | number | boolean | undefined;
};

/** Writes lines about changes of state. */
export type Log = {
  readonly error: (message: string, fields?: LogFields) => void;
  readonly warn: (message: string, fields?: LogFields) => void;
  readonly info: (message: string, fields?: LogFields) => void;
  readonly debug: (message: string, fields?: LogFields) => void;
  /** A message between processes, for golden files; off unless the level is `trace`. */
  readonly message: (channel: string, name: string, fields?: LogFields) => void;
};

/** Options of a log. */
export type LogOptions = {
  readonly process: string;
  readonly level: LogLevel;
  readonly format: LogFormat;
};

/** Makes the log of a process; lines go to standard error unless another sink is given. */
export function createLog(
  options: LogOptions,
  write: (line: string) => void = line => process.stderr.write(line),
): Log {
  const consola = createConsola({
    // Lines carry their meaning in fields that the library's throttle does not compare.
    throttle: 0,
    level: LogLevels[options.level],
    reporters: [
      {
        log: line => {
          write(formatLine(options, line));
        },
      },
    ],
  });
  const tracing = options.level === 'trace';
  return {
    error: writer(consola, 'error'),
    warn: writer(consola, 'warn'),
    info: writer(consola, 'info'),
    debug: writer(consola, 'debug'),
    message: (channel, name, fields) => {
      if (tracing) {
        consola.trace({ message: name, fields: { channel, ...fields } });
      }
    },
  };
}

/** A log that drops everything, for tests. */
export function silentLog(): Log {
  const drop = (): void => undefined;
  return { error: drop, warn: drop, info: drop, debug: drop, message: drop };
}

function writer(
  consola: ConsolaInstance,
  level: 'error' | 'warn' | 'info' | 'debug',
): (message: string, fields?: LogFields) => void {
  return (message, fields) => {
    consola[level]({ message, fields });
  };
}

function formatLine(options: LogOptions, line: LogObject): string {
  const fields = (line as LogObject & { fields?: LogFields }).fields ?? {};
  const message = line.message ?? String(line.args[0] ?? '');
  const time = line.date.toISOString();
  if (options.format === 'json') {
    const record = {
      time,
      level: line.type,
      process: options.process,
      message,
      ...fields,
    };
    return JSON.stringify(record) + '\n';
  }
  const tail = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => ` ${name}=${String(value)}`)
    .join('');
  return `${time} ${line.type} ${options.process} ${message}${tail}\n`;
}
