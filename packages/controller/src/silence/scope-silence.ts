/**
 * Tells whether a set of peers is silent as a whole, and when it was last heard again after that. Pure but for what it
 * remembers.
 *
 * All of them silent at once say more of the observer or of the network than of any one. When one is heard again, the
 * others deserve the time to be heard that it had.
 */

/** Remembers the silence of one set of peers; times are monotonic milliseconds. */
export class ScopeSilence {
  readonly #silentAfterMs: number;
  #newestAt = -Infinity;
  #heardAgainAt = -Infinity;
  #newestBeforeAt = -Infinity;

  constructor(silentAfterMs: number) {
    this.#silentAfterMs = silentAfterMs;
  }

  /** When the set was last heard again after it had been silent as a whole; -Infinity: it never was. */
  get heardAgainAt(): number {
    return this.#heardAgainAt;
  }

  /**
   * Since when one of the set has to have been heard so as not to count as gone: as long ago as it may be silent,
   * counted back from the begin of a silence of all while that lasts, and until the others had the time to be heard.
   */
  countsSince(now: number): number {
    if (this.isSilent(now)) {
      return this.#newestAt - this.#silentAfterMs;
    }
    const isJustBack = now - this.#heardAgainAt <= this.#silentAfterMs;
    return (isJustBack ? Math.min(this.#newestBeforeAt, now) : now) - this.#silentAfterMs;
  }

  /** Takes the time of the newest message of the set, or of the probe that it answers; -Infinity: there is none. */
  observe(newestAt: number, now: number): void {
    if (newestAt - this.#newestAt > this.#silentAfterMs) {
      this.#heardAgainAt = now;
      this.#newestBeforeAt = this.#newestAt;
    }
    this.#newestAt = Math.max(this.#newestAt, newestAt);
  }

  /** True while none of the set is heard. */
  isSilent(now: number): boolean {
    return now - this.#newestAt > this.#silentAfterMs;
  }
}
