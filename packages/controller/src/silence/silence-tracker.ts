/**
 * Detects when all members of a set (hosts or processes) are silent at the same time, and when that silence ended.
 *
 * If all members fall silent at once, the cause is more likely the observer or the network than any single member. When
 * a message of one member arrives again, the others get the same time to report before they count as lost.
 */

/** Tracks the silence of one set. It reads no clock: callers pass the time, in monotonic milliseconds. */
export class SilenceTracker {
  readonly #silentAfterMs: number;
  #newestAt = -Infinity;
  #recoveredAt = -Infinity;
  #newestBeforeSilenceAt = -Infinity;

  constructor(silentAfterMs: number) {
    this.#silentAfterMs = silentAfterMs;
  }

  /** When the last silence of the whole set ended; the first message ends one as well, -Infinity before it. */
  get recoveredAt(): number {
    return this.#recoveredAt;
  }

  /**
   * Returns the cutoff time: a member whose last message is older counts as lost. It lies silentAfterMs before now.
   * While the whole set is silent it lies silentAfterMs before the start of that silence; it stays there for
   * silentAfterMs after the silence has ended, so that the other members have time to report.
   */
  lossCutoff(now: number): number {
    if (this.isSilent(now)) {
      return this.#newestAt - this.#silentAfterMs;
    }
    const isRecovering = now - this.#recoveredAt <= this.#silentAfterMs;
    return (isRecovering ? Math.min(this.#newestBeforeSilenceAt, now) : now) - this.#silentAfterMs;
  }

  /**
   * Records the time of the newest message from the set, or of the probe that the message answers; -Infinity if there
   * is none.
   */
  observe(newestAt: number, now: number): void {
    if (newestAt - this.#newestAt > this.#silentAfterMs) {
      this.#recoveredAt = now;
      this.#newestBeforeSilenceAt = this.#newestAt;
    }
    this.#newestAt = Math.max(this.#newestAt, newestAt);
  }

  /** True while no member has sent a message for longer than silentAfterMs. */
  isSilent(now: number): boolean {
    return now - this.#newestAt > this.#silentAfterMs;
  }
}
