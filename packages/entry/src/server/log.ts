/**
 * Structured logs on standard output: one JSON line for each decision or change of the known state.
 *
 * The number of lines per second is limited, and so are the bytes that standard output has not written yet.
 * Omitted lines are counted by message, and the counts are logged in one line.
 */
// The core module omits the library's own reporters, which are half of its size and are not used.
import { createConsola, LogLevels } from 'consola/core';

import { monotonicMs } from './time.js';

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes log lines; `warn` and `error` share a rate limit separate from that of `info`. */
export type Log = {
  readonly info: (message: string, fields?: LogFields) => void;
  readonly warn: (message: string, fields?: LogFields) => void;
  readonly error: (message: string, fields?: LogFields) => void;
};

/** Rate and memory limits of a log. */
export type LogBounds = {
  /** Most lines of level `info` per second. */
  readonly infoPerSecond: number;
  /** Most lines of levels `warn` and `error` together per second. */
  readonly warnPerSecond: number;
  /** Lines are omitted while more bytes than this wait for standard output. */
  readonly maxPendingBytes: number;
};

/** Destination of log lines: the members of a writable stream that the log uses. */
export type LogSink = {
  readonly write: (text: string) => boolean;
  readonly writableLength: number;
};

/** Bounds for a small host. */
export const DEFAULT_LOG_BOUNDS: LogBounds = {
  infoPerSecond: 40,
  warnPerSecond: 60,
  maxPendingBytes: 256 * 1024,
};

/** Window in which lines are counted, in milliseconds. */
const WINDOW_MS = 1_000;
/**
 * Largest share of a level's lines that one message may use, 0 to 1. When hundreds of requests fail, one line for each
 * would otherwise displace the few lines that explain why, such as an ended host or a request in quarantine.
 */
const MAX_SHARE_PER_MESSAGE = 0.7;

/** Creates the log of a process. */
export function createLog(
  processName: string,
  bounds: LogBounds = DEFAULT_LOG_BOUNDS,
  sink: LogSink = process.stdout,
): Log {
  const limiter = new LineLimiter(bounds, sink);
  const consola = createConsola({
    // The library's throttle would drop lines that differ only in their fields, which it does not compare.
    throttle: 0,
    level: LogLevels.info,
    reporters: [
      {
        log: line => {
          const fields = (line as { fields?: LogFields }).fields;
          const message = line.message ?? String(line.args[0] ?? '');
          sink.write(formatLine(processName, line.type, message, fields));
        },
      },
    ],
  });
  const write = (level: 'info' | 'warn' | 'error', message: string, fields?: LogFields): void => {
    const omitted = limiter.takeOmitted();
    if (omitted !== undefined) {
      consola.warn({ message: 'lines left out', fields: omitted });
    }
    if (limiter.admits(level, message)) {
      consola[level]({ message, fields });
    }
  };
  return {
    info: (message, fields) => {
      write('info', message, fields);
    },
    warn: (message, fields) => {
      write('warn', message, fields);
    },
    error: (message, fields) => {
      write('error', message, fields);
    },
  };
}

/** Creates a log that discards every line, for tests. */
export function silentLog(): Log {
  const discard = (): void => undefined;
  return { info: discard, warn: discard, error: discard };
}

/** Applies the bounds to log lines and counts the omitted ones by message. */
class LineLimiter {
  readonly #bounds: LogBounds;
  readonly #sink: LogSink;
  readonly #omitted = new Map<string, number>();
  #windowStart = monotonicMs();
  #infoLines = 0;
  #warnLines = 0;
  /** Lines of each message in the current window. */
  readonly #linesByMessage = new Map<string, number>();

  constructor(bounds: LogBounds, sink: LogSink) {
    this.#bounds = bounds;
    this.#sink = sink;
  }

  admits(level: 'info' | 'warn' | 'error', message: string): boolean {
    if (this.#admitsMessage(level, message) && this.#admitsLevel(level)) {
      return true;
    }
    this.#omitted.set(message, (this.#omitted.get(message) ?? 0) + 1);
    return false;
  }

  /** Returns and resets the counts of omitted lines by message, once per window; undefined if there are none. */
  takeOmitted(): LogFields | undefined {
    if (monotonicMs() - this.#windowStart < WINDOW_MS) {
      return undefined;
    }
    this.#windowStart = monotonicMs();
    this.#linesByMessage.clear();
    this.#infoLines = 0;
    this.#warnLines = 0;
    if (this.#omitted.size === 0) {
      return undefined;
    }
    const omitted = Object.fromEntries(this.#omitted);
    this.#omitted.clear();
    return omitted;
  }

  #admitsMessage(level: 'info' | 'warn' | 'error', message: string): boolean {
    const { infoPerSecond, warnPerSecond } = this.#bounds;
    const lines = (this.#linesByMessage.get(message) ?? 0) + 1;
    this.#linesByMessage.set(message, lines);
    const bound = level === 'info' ? infoPerSecond : warnPerSecond;
    return lines <= Math.max(1, bound * MAX_SHARE_PER_MESSAGE);
  }

  #admitsLevel(level: 'info' | 'warn' | 'error'): boolean {
    if (this.#sink.writableLength > this.#bounds.maxPendingBytes) {
      return false;
    }
    if (level === 'info') {
      this.#infoLines += 1;
      return this.#infoLines <= this.#bounds.infoPerSecond;
    }
    this.#warnLines += 1;
    return this.#warnLines <= this.#bounds.warnPerSecond;
  }
}

function formatLine(
  processName: string,
  level: string,
  message: string,
  fields: LogFields | undefined,
): string {
  const time = new Date().toISOString();
  const steadyMs = Math.round(monotonicMs());
  return JSON.stringify({ time, steadyMs, level, process: processName, message, ...fields }) + '\n';
}
