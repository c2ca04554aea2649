/**
 * Outlier ejection: a group that fails several times in a row is not used for a while. The first ejection
 * is short and each further one twice as long, so that no group is left out for longer than needed.
 */

/** Consecutive failures that eject a group. */
const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION_MS = 2_000;
const LONGEST_EJECTION_MS = 30_000;

/** Failures and ejections of one group, as observed by this gateway. */
export class GroupHealth {
  #failures = 0;
  #ejections = 0;
  #ejectedUntil = -Infinity;

  /** Records a successful attempt, which resets the counts of failures and ejections. */
  recordSuccess(): void {
    this.#failures = 0;
    this.#ejections = 0;
  }

  /** Records a failed attempt; returns true if it ejects the group. */
  recordFailure(now: number): boolean {
    this.#failures += 1;
    if (this.#failures < FAILURES_TO_EJECT || this.isEjected(now)) {
      return false;
    }
    const ejectionMs = Math.min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS * 2 ** this.#ejections);
    this.#ejections += 1;
    this.#failures = 0;
    this.#ejectedUntil = now + ejectionMs;
    return true;
  }

  /** Returns true while the group is ejected. */
  isEjected(now: number): boolean {
    return now < this.#ejectedUntil;
  }
}
