/** Rate-limited weight store: all reads share one rate and are served in order. */

/** Delays each read as a store with a fixed throughput would; no data is read. */
export class WeightStore {
  readonly #gigabytesPerSecond: number;
  #busyUntil = 0;

  constructor(gigabytesPerSecond: number) {
    this.#gigabytesPerSecond = gigabytesPerSecond;
  }

  /** Resolves once all earlier reads and this one, of the given gigabytes, would have been transferred. */
  read(gigabytes: number): Promise<void> {
    const now = performance.now();
    const start = Math.max(now, this.#busyUntil);
    this.#busyUntil = start + (gigabytes / this.#gigabytesPerSecond) * 1000;
    const waitMs = this.#busyUntil - now;
    return new Promise(resolve => setTimeout(resolve, waitMs));
  }
}
