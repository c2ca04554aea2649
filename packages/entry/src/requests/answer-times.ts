/** Remembers how long whole answers have lately taken, by route. */

/** Answers that are remembered for each route. */
const REMEMBERED = 32;
/** Routes that are remembered; configurations may name new ones for as long as the process runs. */
const MAX_ROUTES = 500;
/** Part of the answers that took no longer than the usual time, 0 to 1. */
const USUAL_QUANTILE = 0.95;

/** The durations of the latest answers of all routes. */
export class AnswerTimes {
  readonly #byRoute = new Map<string, number[]>();

  /** Records the time from the receipt of a request to the end of its answer, in milliseconds. */
  record(route: string, ms: number): void {
    const times = this.#byRoute.get(route) ?? [];
    times.push(ms);
    if (times.length > REMEMBERED) {
      times.shift();
    }
    // The routes stay in the order of their latest answers.
    this.#byRoute.delete(route);
    this.#byRoute.set(route, times);
    this.#forgetOldRoutes();
  }

  /** The time that nearly all of the latest answers took at most, in milliseconds; undefined if there were none. */
  usualMs(route: string): number | undefined {
    const sorted = [...(this.#byRoute.get(route) ?? [])].sort((a, b) => a - b);
    return sorted[Math.ceil(sorted.length * USUAL_QUANTILE) - 1];
  }

  #forgetOldRoutes(): void {
    const [oldest] = this.#byRoute.keys();
    if (this.#byRoute.size > MAX_ROUTES && oldest !== undefined) {
      this.#byRoute.delete(oldest);
    }
  }
}
