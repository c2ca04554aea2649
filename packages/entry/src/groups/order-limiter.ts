/** Limits how many orders to hosts are under way at the same time. */

/**
 * Maximum number of orders under way at the same time. Each must be answered within 0.4 s. When groups of 3,000 hosts
 * are formed, 3,000 orders are due at once; a small machine that sends them all together can not read the answers in
 * time, so all count as unanswered and are sent again. A hundred orders take a few milliseconds.
 */
const MAX_CONCURRENT_ORDERS = 100;

/** Runs at most {@link MAX_CONCURRENT_ORDERS} calls at the same time; further calls wait in the order of arrival. */
export class OrderLimiter {
  readonly #waiting: (() => void)[] = [];
  #running = 0;

  /** Runs the call, once fewer than the maximum are running, and returns its result. */
  async run<T>(call: () => Promise<T>): Promise<T> {
    if (this.#running >= MAX_CONCURRENT_ORDERS) {
      await new Promise<void>(resolve => this.#waiting.push(resolve));
    } else {
      this.#running += 1;
    }
    try {
      return await call();
    } finally {
      this.#release();
    }
  }

  // Hands the slot to the call that has waited longest, or frees it.
  #release(): void {
    const next = this.#waiting.shift();
    if (next === undefined) {
      this.#running -= 1;
    } else {
      next();
    }
  }
}
