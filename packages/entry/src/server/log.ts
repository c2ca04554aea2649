/**
 * Structured logs on standard output: one JSON line for each decision or change of belief.
 *
 * Lines are bounded by count per second and by bytes that standard output has not yet taken;
 * what is left out is counted by message and told in one line of its own.
 */
// Without the library's own reporters, which are half of its size and are not used.
import { createConsola, LogLevels } from 'consola/core';

import { monotonicMs } from './time.js';

/** Fields of a line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes lines; `warn` and `error` have places of their own when lines are many. */
export type Log = {
  readonly info: (message: string, fields?: LogFields) => void;
  readonly warn: (message: string, fields?: LogFields) => void;
  readonly error: (message: string, fields?: LogFields) => void;
};

/** Bounds of a log. */
export type LogBounds = {
  /** Lines of level `info` a second. */
  readonly infoPerSecond: number;
  /** Lines of level `warn` and `error` a second. */
  readonly warnPerSecond: number;
  /** Bytes that may wait for standard output. */
  readonly maxPendingBytes: number;
};

/** Where lines go; the subset of a stream that is used. */
export type LogSink = {
  readonly write: (text: string) => boolean;
  readonly writableLength: number;
};

/** Bounds that fit a small host. */
export const DEFAULT_LOG_BOUNDS: LogBounds = {
  infoPerSecond: 40,
  warnPerSecond: 60,
  maxPendingBytes: 256 * 1024,
};

const WINDOW_MS = 1_000;
/**
 * Greatest part of the lines of a level that one message may take, 0 to 1. When requests fail by the hundred, a
 * line for each would else leave out the few lines that tell why: a host that ended, a request in quarantine.
 */
const MOST_OF_ONE_MESSAGE = 0.7;

/** Makes the log of a process. */
export function createLog(
  processName: string,
  bounds: LogBounds = DEFAULT_LOG_BOUNDS,
  sink: LogSink = process.stdout,
): Log {
  const gate = new LineGate(bounds, sink);
  const consola = createConsola({
    // Lines carry their meaning in fields that the library's throttle does not compare.
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
    const omitted = gate.takeOmitted();
    if (omitted !== undefined) {
      consola.warn({ message: 'lines left out', fields: omitted });
    }
    if (gate.admits(level, message)) {
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

/** A log that drops everything, for tests. */
export function silentLog(): Log {
  const drop = (): void => undefined;
  return { info: drop, warn: drop, error: drop };
}

/** Decides which lines are written, and counts those that are not. */
class LineGate {
  readonly #bounds: LogBounds;
  readonly #sink: LogSink;
  readonly #omitted = new Map<string, number>();
  #windowStart = monotonicMs();
  #infoLines = 0;
  #warnLines = 0;
  /** Lines by message in this window. */
  readonly #lines = new Map<string, number>();

  constructor(bounds: LogBounds, sink: LogSink) {
    this.#bounds = bounds;
    this.#sink = sink;
  }

  admits(level: 'info' | 'warn' | 'error', message: string): boolean {
    if (this.#hasRoomOf(level, message) && this.#hasRoom(level)) {
      return true;
    }
    this.#omitted.set(message, (this.#omitted.get(message) ?? 0) + 1);
    return false;
  }

  /** What was left out in the last window, once a window is over. */
  takeOmitted(): LogFields | undefined {
    if (monotonicMs() - this.#windowStart < WINDOW_MS) {
      return undefined;
    }
    this.#windowStart = monotonicMs();
    this.#lines.clear();
    this.#infoLines = 0;
    this.#warnLines = 0;
    if (this.#omitted.size === 0) {
      return undefined;
    }
    const omitted = Object.fromEntries(this.#omitted);
    this.#omitted.clear();
    return omitted;
  }

  #hasRoomOf(level: 'info' | 'warn' | 'error', message: string): boolean {
    const { infoPerSecond, warnPerSecond } = this.#bounds;
    const lines = (this.#lines.get(message) ?? 0) + 1;
    this.#lines.set(message, lines);
    const bound = level === 'info' ? infoPerSecond : warnPerSecond;
    return lines <= Math.max(1, bound * MOST_OF_ONE_MESSAGE);
  }

  #hasRoom(level: 'info' | 'warn' | 'error'): boolean {
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
