/** Limits the number of loads from the weight store that begin within a sliding window. */

/** Records when loads began, and computes how many more may begin. All times are in monotonic milliseconds. */
export class LoadBudget {
  readonly #windowMs: number;
  readonly #startTimes: number[] = [];

  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** Records that loads have begun, or may have begun. */
  recordLoads(now: number, loads = 1): void {
    for (let load = 0; load < loads; load++) {
      this.#startTimes.push(now);
    }
  }

  /** The number of loads that may begin now; `running` loads are in progress. */
  availableLoads(
    now: number,
    loadsPerSecond: number,
    loadsAtOnce: number,
    running: number,
  ): number {
    while (this.#startTimes.length > 0 && now - (this.#startTimes[0] ?? 0) > this.#windowMs) {
      this.#startTimes.shift();
    }
    const byRate = (loadsPerSecond * this.#windowMs) / 1_000 - this.#startTimes.length;
    return Math.max(0, Math.floor(Math.min(byRate, loadsAtOnce - running)));
  }
}
