/** The eras that a store names in its answers. */
import type { Revision } from './revision.js';
import { eraOf } from './revision.js';

/** Header of an answer that names the store's era, in lower case. */
export const STORE_ERA_HEADER = 'store-era';

const WHOLE_NUMBER = /^\d+$/;

/** Knows the latest era of one store. */
export class StoreEras {
  #latest = 0;

  /** The latest era of any answer; 0 where the store names none. */
  get latest(): number {
    return this.#latest;
  }

  /** Takes the header of an answer and gives the answer's era; one that names none is of the latest. */
  note(header: string | string[] | undefined): number {
    const isNamed = typeof header === 'string' && WHOLE_NUMBER.test(header);
    const era = isNamed ? Number(header) : this.#latest;
    this.#latest = Math.max(this.#latest, era);
    return era;
  }

  /** True when the store has come back from an older copy since it had a revision. */
  isOver(revision: Revision): boolean {
    return eraOf(revision) < this.#latest;
  }
}
