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

  constructor(silentAfterMs: number) {
    this.#silentAfterMs = silentAfterMs;
  }

  /** When the set was last heard again after it had been silent as a whole; -Infinity: it never was. */
  get heardAgainAt(): number {
    return this.#heardAgainAt;
  }

  /** Takes the time of the newest message of the set, or of the probe that it answers; -Infinity: there is none. */
  observe(newestAt: number, now: number): void {
    if (newestAt - this.#newestAt > this.#silentAfterMs) {
      this.#heardAgainAt = now;
    }
    this.#newestAt = Math.max(this.#newestAt, newestAt);
  }

  /** True while none of the set is heard. */
  isSilent(now: number): boolean {
    return now - this.#newestAt > this.#silentAfterMs;
  }
}
