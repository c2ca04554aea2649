/** Logs written with consola. Only changes of state are logged, and never a key, a prompt or an answer. */
import type { ConsolaInstance, LogObject } from 'consola';
import { createConsola, LogLevels } from 'consola';

/** Levels allowed in settings; `trace` also writes a line for each message between processes. */
export const LOG_LEVELS = ['error', 'warn', 'info', 'debug', 'trace'] as const;
/** A level allowed in settings. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Line formats allowed in settings. */
export const LOG_FORMATS = ['text', 'json'] as const;
/** A line format allowed in settings. */
export type LogFormat = (typeof LOG_FORMATS)[number];

/** Fields of a line, by name; `undefined` values are not written. */
export type LogFields = {
  readonly request?: string;
  readonly group?: string;
  readonly host?: string;
  readonly epoch?: number;
  readonly revision?: number;
  readonly [field: string]: string | number | boolean | undefined;
};

/** Writes log lines at each level. */
export type Log = {
  readonly error: (message: string, fields?: LogFields) => void;
  readonly warn: (message: string, fields?: LogFields) => void;
  readonly info: (message: string, fields?: LogFields) => void;
  readonly debug: (message: string, fields?: LogFields) => void;
  /** Logs a message between processes, for golden files; written only at level `trace`. */
  readonly message: (channel: string, name: string, fields?: LogFields) => void;
};

/** Options of a log; `process` is the name that each line carries. */
export type LogOptions = {
  readonly process: string;
  readonly level: LogLevel;
  readonly format: LogFormat;
};

/** Creates the log of a process; `write` receives each line and writes to standard error by default. */
export function createLog(
  options: LogOptions,
  write: (line: string) => void = line => process.stderr.write(line),
): Log {
  const consola = createConsola({
    // consola's throttle would drop lines that differ only in their fields, because it does not compare fields.
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
  const isTracing = options.level === 'trace';
  return {
    error: levelWriter(consola, 'error'),
    warn: levelWriter(consola, 'warn'),
    info: levelWriter(consola, 'info'),
    debug: levelWriter(consola, 'debug'),
    message: (channel, name, fields) => {
      if (isTracing) {
        consola.trace({ message: name, fields: { channel, ...fields } });
      }
    },
  };
}

/** Creates a log that discards all lines, for tests. */
export function silentLog(): Log {
  const discard = (): void => undefined;
  return { error: discard, warn: discard, info: discard, debug: discard, message: discard };
}

function levelWriter(
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
  const fieldsText = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => ` ${name}=${String(value)}`)
    .join('');
  return `${time} ${line.type} ${options.process} ${message}${fieldsText}\n`;
}
