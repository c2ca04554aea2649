/**
 * Generates the epochs of new groups. They are always higher than those of any earlier lease holder, even of one that
 * the store no longer knows because it was restored from an older copy.
 *
 * An epoch is made of three parts, from high to low: the era and the number of the revision at which the lease was
 * last renewed, which no other lease holder can have, and a counter.
 */
import type { Revision } from '@hingescale/core';
import { eraOf, isLaterRevision, numberInEra } from '@hingescale/core';

/** Range of the counter, which starts again at each renewal of the lease, about once a second. */
const EPOCHS_PER_RENEWAL = 2 ** 12;
/** Range of the revision numbers of an era: enough for ten years at twenty-five changes a second. */
const NUMBERS_PER_ERA = 2 ** 33;
/**
 * Number of eras that fit above the other parts in an exact integer (53 bits). The lowest value of the era part is
 * reserved for epochs of earlier releases, which had no era.
 */
const MAX_ERAS = 2 ** 8 - 1;

/** Generates a unique, increasing epoch for each group. */
export class EpochSeries {
  #revision = -1;
  #issued = 0;

  /** The next epoch under a lease that was last renewed at `revision`; undefined when no epoch is left. */
  next(revision: Revision): number | undefined {
    if (isLaterRevision(revision, this.#revision)) {
      this.#revision = revision;
      this.#issued = 0;
    }
    const era = eraOf(this.#revision);
    const number = numberInEra(this.#revision);
    const isExhausted = this.#issued === EPOCHS_PER_RENEWAL - 1;
    if (isExhausted || era >= MAX_ERAS || number >= NUMBERS_PER_ERA) {
      return undefined;
    }
    this.#issued += 1;
    return ((era + 1) * NUMBERS_PER_ERA + number) * EPOCHS_PER_RENEWAL + this.#issued;
  }
}
