/** How fast requests of a model finish, for estimates of waiting times. */

const WINDOW_MS = 5_000;
const KEPT_FINISHES = 512;
/** Weight of the newest value in the smoothed running time. */
const SMOOTHING = 0.05;

/** Remembers when the last requests finished. */
export class DrainRate {
  readonly #finishes: number[] = [];
  #serviceMs = 0;

  /** Smoothed time that a request runs, in milliseconds; 0 while nothing is known. */
  get serviceMs(): number {
    return this.#serviceMs;
  }

  /** A request has finished that ran for so long. */
  note(now: number, serviceMs: number): void {
    const weight = this.#serviceMs === 0 ? 1 : SMOOTHING;
    this.#serviceMs += weight * (serviceMs - this.#serviceMs);
    this.#finishes.push(now);
    if (this.#finishes.length > KEPT_FINISHES) {
      this.#finishes.shift();
    }
  }

  /** Requests a second over the last window; undefined while too little is known. */
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

  /** Milliseconds until so many requests ahead have finished; 0 while the rate is unknown. */
  expectedMs(ahead: number, now: number): number {
    const rate = this.perSecond(now);
    return rate === undefined ? 0 : ((ahead + 1) / rate) * 1000;
  }
}
