/** Logs the first failure of a series and its end, so that an outage makes two lines, not hundreds. */
import type { Log } from './log.js';

/** Failures of one recurring action. */
export class FailureSeries {
  readonly #log: Log;
  readonly #action: string;
  #failures = 0;

  /** `action` names what fails, for the log. */
  constructor(log: Log, action: string) {
    this.#log = log;
    this.#action = action;
  }

  /** The action has failed; `error` is what it threw. */
  failed(error: unknown): void {
    this.#failures += 1;
    if (this.#failures === 1) {
      this.#log.warn('action fails', { action: this.#action, cause: String(error) });
    }
  }

  /** The action has succeeded. */
  succeeded(): void {
    if (this.#failures > 0) {
      this.#log.info('action succeeds again', { action: this.#action, failures: this.#failures });
      this.#failures = 0;
    }
  }
}
