/** Logs the first failure of a series and its end, so that an outage produces two log lines instead of hundreds. */
import type { Log } from './log.js';

/** Tracks consecutive failures of one recurring action. */
export class FailureSeries {
  readonly #log: Log;
  readonly #action: string;
  #failures = 0;

  /** `action` is the name of the action in log lines. */
  constructor(log: Log, action: string) {
    this.#log = log;
    this.#action = action;
  }

  /** Records a failure of the action; `error` is the value that it threw. */
  recordFailure(error: unknown): void {
    this.#failures += 1;
    if (this.#failures === 1) {
      this.#log.warn('action fails', { action: this.#action, cause: String(error) });
    }
  }

  /** Records a success of the action, which ends the series. */
  recordSuccess(): void {
    if (this.#failures > 0) {
      this.#log.info('action succeeds again', { action: this.#action, failures: this.#failures });
      this.#failures = 0;
    }
  }
}
