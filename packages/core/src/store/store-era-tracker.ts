/** Tracks the era that a store reports in its responses. */
import type { Revision } from './revision.js';
import { eraOf } from './revision.js';

/** Name of the response header with the store's era, in lower case. */
export const STORE_ERA_HEADER = 'store-era';

const DECIMAL_DIGITS = /^\d+$/;

/** Keeps the latest era that one store has reported. */
export class StoreEraTracker {
  #latest = 0;

  /** The latest era of any response; 0 while the store has reported none. */
  get latest(): number {
    return this.#latest;
  }

  /** Records a response's era header and returns the response's era: the latest known one if it has no valid header. */
  recordHeader(header: string | string[] | undefined): number {
    const isReported = typeof header === 'string' && DECIMAL_DIGITS.test(header);
    const era = isReported ? Number(header) : this.#latest;
    this.#latest = Math.max(this.#latest, era);
    return era;
  }

  /** True when the store has been restored from an older copy since a revision. */
  isOfEarlierEra(revision: Revision): boolean {
    return eraOf(revision) < this.#latest;
  }
}
