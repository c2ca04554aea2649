/**
 * Notices when this process did not run: it was suspended, got no processor, or its event loop was blocked. A process
 * has no evidence about others for that time: their messages wait in its sockets, and its own time limits have passed.
 */
import { monotonicMs, sleep } from './clock.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import { Task } from './task.js';

/** Time between two looks at the clock, in milliseconds. */
const TICK_MS = 100;
/** Least delay of a look that counts as an interruption, in milliseconds. */
const LEAST_INTERRUPTION_MS = 250;

/** Options of the watch; `now` is a monotonic clock in milliseconds. */
export type EventLoopWatchOptions = {
  readonly log: Log;
  readonly metrics: Metrics;
  readonly now?: () => number;
};

/** Watches the event loop of this process. */
export class EventLoopWatch extends Task<Record<never, never>> {
  readonly #log: Log;
  readonly #metrics: Metrics;
  readonly #now: () => number;
  #lookedAt: number;
  #resumedAt = -Infinity;

  constructor({ log, metrics, now = monotonicMs }: EventLoopWatchOptions) {
    super();
    this.#log = log;
    this.#metrics = metrics;
    this.#now = now;
    this.#lookedAt = now();
  }

  /** Starts watching. */
  start(): void {
    this.run(async () => {
      while (!this.stopped) {
        const startedAt = this.#now();
        await sleep(TICK_MS, this.signal);
        const lateMs = Math.max(0, this.#now() - startedAt - TICK_MS);
        this.#metrics.histogram('event_loop_late').record(lateMs);
        this.#look();
      }
    });
  }

  /**
   * When the process ran again after it was last interrupted, in monotonic milliseconds; -Infinity: it never was.
   * Also tells of an interruption that has just ended, before any timer of this watch has run.
   */
  resumedAt(): number {
    this.#look();
    return this.#resumedAt;
  }

  #look(): void {
    const now = this.#now();
    const lateMs = now - this.#lookedAt - TICK_MS;
    this.#lookedAt = now;
    if (lateMs >= LEAST_INTERRUPTION_MS) {
      this.#resumedAt = now;
      this.#metrics.count('interruptions_total');
      this.#log.warn('this process did not run for a while', { lateMs: Math.round(lateMs) });
    }
  }
}
