/**
 * Tells whether a set of hosts is silent as a whole, and when it was last heard again after that. Pure but for what it
 * remembers.
 *
 * All hosts silent at once say more of the observer or of the network than of any host. When one is heard again, the
 * others deserve the time to answer that it had.
 */

/** Remembers the silence of one set of hosts; times are monotonic milliseconds. */
export class ScopeSilence {
  readonly #silentAfterMs: number;
  #newestAt = -Infinity;
  #heardAgainAt = -Infinity;

  constructor(silentAfterMs: number) {
    this.#silentAfterMs = silentAfterMs;
  }

  /** When the set was last heard again after it had been silent as a whole; -Infinity: it never was. */
  get heardAgainAt(): number {
    return this.#heardAgainAt;
  }

  /** Takes the time at which the newest answered probe of the set was sent; -Infinity: none was answered. */
  observe(newestAt: number, now: number): void {
    if (newestAt - this.#newestAt > this.#silentAfterMs) {
      this.#heardAgainAt = now;
    }
    this.#newestAt = Math.max(this.#newestAt, newestAt);
  }

  /** True while no host of the set answers. */
  isSilent(now: number): boolean {
    return now - this.#newestAt > this.#silentAfterMs;
  }
}
