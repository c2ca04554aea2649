/** Bounds how many loads from the weight store begin, over a sliding window. */

/** Counts begun loads. */
export class LoadBudget {
  readonly #windowMs: number;
  readonly #begun: number[] = [];

  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** Notes that loads may have begun. */
  note(now: number, loads = 1): void {
    for (let load = 0; load < loads; load++) {
      this.#begun.push(now);
    }
  }

  /** Loads that may begin now, given the rate and how many run. */
  left(now: number, loadsPerSecond: number, loadsAtOnce: number, running: number): number {
    while (this.#begun.length > 0 && now - (this.#begun[0] ?? 0) > this.#windowMs) {
      this.#begun.shift();
    }
    const byRate = (loadsPerSecond * this.#windowMs) / 1_000 - this.#begun.length;
    return Math.max(0, Math.floor(Math.min(byRate, loadsAtOnce - running)));
  }
}
