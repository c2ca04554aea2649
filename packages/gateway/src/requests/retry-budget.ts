/** Retries as a share of requests, so that a fault never multiplies the load. */

const START_TOKENS = 10;
const MAX_TOKENS = 100;

/** A token bucket that requests fill and retries empty. */
export class RetryBudget {
  readonly #share: number;
  #tokens = START_TOKENS;

  constructor(share: number) {
    this.#share = share;
  }

  /** Counts a request. */
  noteRequest(): void {
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + this.#share);
  }

  /** Takes the allowance for one retry; false when there is none. */
  take(): boolean {
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}
