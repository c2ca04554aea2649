/** Measures how fast the requests of a model finish, to estimate waiting times. */

/** Period over which the rate is measured. */
const WINDOW_MS = 5_000;
/** Largest number of finish times that are kept. */
const MAX_FINISHES = 512;
/** Weight of the newest value in the moving average of the running time. */
const SMOOTHING = 0.05;

/** Finish times of the latest requests of a model and their average running time. */
export class DrainRate {
  readonly #finishes: number[] = [];
  #serviceMs = 0;

  /** Moving average of the time a request runs, in ms; 0 before the first request has finished. */
  get serviceMs(): number {
    return this.#serviceMs;
  }

  /** Records that a request finished at `now` after it ran for `serviceMs`. */
  recordFinish(now: number, serviceMs: number): void {
    const weight = this.#serviceMs === 0 ? 1 : SMOOTHING;
    this.#serviceMs += weight * (serviceMs - this.#serviceMs);
    this.#finishes.push(now);
    if (this.#finishes.length > MAX_FINISHES) {
      this.#finishes.shift();
    }
  }

  /** Finished requests per second in the last window; undefined if fewer than two finished in it. */
  perSecond(now: number): number | undefined {
    while (this.#finishes.length > 0 && this.#finishes[0] < now - WINDOW_MS) {
      this.#finishes.shift();
    }
    if (this.#finishes.length < 2) {
      return undefined;
    }
    const spanMs = Math.max(1, now - this.#finishes[0]);
    return (this.#finishes.length / spanMs) * 1000;
  }

  /** Estimated wait in ms of a request with `ahead` requests before it; 0 while the rate is unknown. */
  expectedWaitMs(ahead: number, now: number): number {
    const rate = this.perSecond(now);
    return rate === undefined ? 0 : ((ahead + 1) / rate) * 1000;
  }
}
