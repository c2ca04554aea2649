/** The rate-limited weight store: reads share one rate and are served in order. */

/** Hands out reading time at a fixed rate. */
export class WeightStore {
  readonly #gigabytesPerSecond: number;
  #busyUntil = 0;

  constructor(gigabytesPerSecond: number) {
    this.#gigabytesPerSecond = gigabytesPerSecond;
  }

  /** Resolves when that many gigabytes have been read. */
  read(gigabytes: number): Promise<void> {
    const now = performance.now();
    const start = Math.max(now, this.#busyUntil);
    this.#busyUntil = start + (gigabytes / this.#gigabytesPerSecond) * 1000;
    const ms = this.#busyUntil - now;
    return new Promise(resolve => setTimeout(resolve, ms));
  }
}
