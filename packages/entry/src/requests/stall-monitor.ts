/** Checks running attempts for stalls. */
import { monotonicMs } from '../server/time.js';

/** An attempt that the monitor checks for stalls. */
export type MonitoredAttempt = {
  /**
   * Checks whether the attempt has stalled, by its own criteria; `now` in monotonic milliseconds. Returns the time in
   * milliseconds after which the next check can find a stall.
   */
  readonly checkForStall: (now: number) => number;
};

/** Shortest time between two checks, in milliseconds: a stall may be noticed this much late. */
const MIN_CHECK_INTERVAL_MS = 25;

/**
 * Checks all attempts with one timer, which is due when the first of them may have stalled.
 *
 * Attempts that progress are checked about once per limit. With a few streams per host and limits of 150 ms this
 * causes 7 wake-ups a second. A fixed period of 25 ms caused 40, a third of all wake-ups of the process.
 */
export class StallMonitor {
  readonly #attempts = new Set<MonitoredAttempt>();
  #checkTimer: NodeJS.Timeout | undefined;
  #dueAt = Infinity;

  /** Checks an attempt, now and until it is removed. */
  add(attempt: MonitoredAttempt): void {
    this.#attempts.add(attempt);
    const now = monotonicMs();
    this.#schedule(now, attempt.checkForStall(now));
  }

  /** Checks all attempts in this turn of the event loop, after a report that shortens their limits. */
  checkSoon(): void {
    setImmediate(() => {
      if (this.#attempts.size > 0) {
        this.#checkAll();
      }
    });
  }

  /** Ends the checks of an attempt that is over. */
  remove(attempt: MonitoredAttempt): void {
    this.#attempts.delete(attempt);
    if (this.#attempts.size === 0) {
      this.#cancelTimer();
    }
  }

  #checkAll(): void {
    this.#cancelTimer();
    const now = monotonicMs();
    let nextMs = Infinity;
    for (const attempt of [...this.#attempts]) {
      nextMs = Math.min(nextMs, attempt.checkForStall(now));
    }
    if (this.#attempts.size > 0) {
      this.#schedule(now, nextMs);
    }
  }

  #schedule(now: number, afterMs: number): void {
    const waitMs = Math.max(MIN_CHECK_INTERVAL_MS, afterMs);
    if (now + waitMs >= this.#dueAt) {
      return;
    }
    this.#cancelTimer();
    this.#dueAt = now + waitMs;
    this.#checkTimer = setTimeout(() => {
      this.#checkAll();
    }, waitMs);
  }

  #cancelTimer(): void {
    clearTimeout(this.#checkTimer);
    this.#dueAt = Infinity;
  }
}
