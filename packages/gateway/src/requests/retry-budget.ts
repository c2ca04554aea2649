/** Limits retries to a share of the requests, so that a fault doesn't multiply the load. */

/** Tokens of a new bucket. */
const START_TOKENS = 10;
/** Capacity of the bucket: the longest burst of retries. */
const MAX_TOKENS = 100;

/** Token bucket: each request adds `share` tokens, each retry takes one. */
export class RetryBudget {
  readonly #share: number;
  #tokens = START_TOKENS;

  constructor(share: number) {
    this.#share = share;
  }

  /** Adds the share of one request. */
  noteRequest(): void {
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + this.#share);
  }

  /** Takes the token for one retry; returns false if there is none. */
  tryTake(): boolean {
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}
