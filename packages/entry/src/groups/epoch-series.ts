/**
 * Epochs of new groups: always above those of any earlier holder of the lease, also of one that a store has
 * forgotten by coming back from an older copy.
 *
 * An epoch is made of the revision at which the lease was last renewed, which nobody else can have, and a counter
 * below it. The era of the revision stands in the high part.
 */
import type { Revision } from '@hingescale/core';
import { eraOf, isLaterRevision, numberInEra } from '@hingescale/core';

/** Epochs that one renewal gives; the next renewal, a second later, gives as many. */
const EPOCHS_PER_RENEWAL = 2 ** 12;
/** Revision numbers of an era that fit; a decade of twenty-five changes a second. */
const NUMBERS_PER_ERA = 2 ** 33;
/**
 * Eras that fit into exact whole numbers above these; the first is left to epochs of earlier releases, which had
 * no era.
 */
const MOST_ERAS = 2 ** 8 - 1;

/** Gives each group an epoch of its own. */
export class EpochSeries {
  #revision = -1;
  #given = 0;

  /** The next epoch under a lease that was last renewed at `revision`; undefined when it has none left. */
  next(revision: Revision): number | undefined {
    if (isLaterRevision(revision, this.#revision)) {
      this.#revision = revision;
      this.#given = 0;
    }
    const era = eraOf(this.#revision);
    const number = numberInEra(this.#revision);
    const isExhausted = this.#given === EPOCHS_PER_RENEWAL - 1;
    if (isExhausted || era >= MOST_ERAS || number >= NUMBERS_PER_ERA) {
      return undefined;
    }
    this.#given += 1;
    return ((era + 1) * NUMBERS_PER_ERA + number) * EPOCHS_PER_RENEWAL + this.#given;
  }
}
