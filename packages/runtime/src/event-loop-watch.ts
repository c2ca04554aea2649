/**
 * Detects when this process did not run: it was suspended, got no processor time, or its event loop was blocked. The
 * process has no evidence about others for that time: their messages wait in its sockets, while its own time limits
 * have expired.
 */
import { monotonicMs, sleep } from './clock.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import { Task } from './task.js';

/** Time between two checks of the clock, in milliseconds. */
const CHECK_INTERVAL_MS = 100;
/** Minimum delay of a check that counts as an interruption, in milliseconds. */
const MIN_INTERRUPTION_MS = 250;

/** Options of an EventLoopWatch; `now` reads a monotonic clock in milliseconds. */
export type EventLoopWatchOptions = {
  readonly log: Log;
  readonly metrics: Metrics;
  readonly now?: () => number;
};

/** Detects interruptions of this process by the delay of a periodic check; counts and logs them. */
export class EventLoopWatch extends Task<Record<never, never>> {
  readonly #log: Log;
  readonly #metrics: Metrics;
  readonly #now: () => number;
  #checkedAt: number;
  #resumedAt = -Infinity;

  constructor({ log, metrics, now = monotonicMs }: EventLoopWatchOptions) {
    super();
    this.#log = log;
    this.#metrics = metrics;
    this.#now = now;
    this.#checkedAt = now();
  }

  /** Starts watching. */
  start(): void {
    this.run(async () => {
      while (!this.stopped) {
        const startedAt = this.#now();
        await sleep(CHECK_INTERVAL_MS, this.signal);
        const lateMs = Math.max(0, this.#now() - startedAt - CHECK_INTERVAL_MS);
        this.#metrics.histogram('event_loop_late').record(lateMs);
        this.#checkDelay();
      }
    });
  }

  /**
   * Returns when the process resumed after its last interruption, in monotonic milliseconds, or -Infinity if there was
   * none. Includes an interruption that has just ended, even if no timer of this watch has run since.
   */
  resumedAt(): number {
    this.#checkDelay();
    return this.#resumedAt;
  }

  // Records an interruption if this check is later than due.
  #checkDelay(): void {
    const now = this.#now();
    const lateMs = now - this.#checkedAt - CHECK_INTERVAL_MS;
    this.#checkedAt = now;
    if (lateMs >= MIN_INTERRUPTION_MS) {
      this.#resumedAt = now;
      this.#metrics.count('interruptions_total');
      this.#log.warn('this process did not run for a while', { lateMs: Math.round(lateMs) });
    }
  }
}
