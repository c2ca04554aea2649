/** Bounds how many orders are under way at once. */

/**
 * Orders under way at once. Each has 0.4 s to be answered; when groups of 3,000 hosts are formed, as many orders are
 * due in one moment, and a small host that sends all of them at once reads none of the answers in time: all count as
 * unanswered and are sent again. A hundred take some milliseconds.
 */
const MOST_AT_ONCE = 100;

/** Places for orders, given in the order in which they were asked for. */
export class OrderPlaces {
  readonly #waiting: (() => void)[] = [];
  #taken = 0;

  /** Runs the call once there is a place for it. */
  async run<T>(call: () => Promise<T>): Promise<T> {
    if (this.#taken >= MOST_AT_ONCE) {
      await new Promise<void>(resolve => this.#waiting.push(resolve));
    } else {
      this.#taken += 1;
    }
    try {
      return await call();
    } finally {
      this.#leave();
    }
  }

  // Whoever waits takes the place over.
  #leave(): void {
    const next = this.#waiting.shift();
    if (next === undefined) {
      this.#taken -= 1;
    } else {
      next();
    }
  }
}
