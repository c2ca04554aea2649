/** Ejection of groups that fail again and again, and of none for longer than needed. */

const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION_MS = 2_000;
const LONGEST_EJECTION_MS = 30_000;

/** Failures of one group as this gateway saw them. */
export class GroupHealth {
  #failures = 0;
  #ejections = 0;
  #ejectedUntil = -Infinity;

  /** An attempt has ended well. */
  succeed(): void {
    this.#failures = 0;
    this.#ejections = 0;
  }

  /** An attempt has failed; true when the group is ejected by it. */
  fail(now: number): boolean {
    this.#failures += 1;
    if (this.#failures < FAILURES_TO_EJECT || this.ejected(now)) {
      return false;
    }
    const ms = Math.min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS * 2 ** this.#ejections);
    this.#ejections += 1;
    this.#failures = 0;
    this.#ejectedUntil = now + ms;
    return true;
  }

  /** True while the group should be avoided. */
  ejected(now: number): boolean {
    return now < this.#ejectedUntil;
  }
}
