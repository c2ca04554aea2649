/**
 * Revisions of the store that stay ordered when the store is restored from an older copy.
 *
 * A restored store assigns revision numbers again that it has already used, and increments its era. A
 * {@link Revision} combines era and number in one number, with the era in the high part, so that the later of two
 * revisions is always the greater.
 */

/** Era and revision number of the store in one number; built by {@link makeRevision}. */
export type Revision = number;

/** Revision numbers in one era: enough for a hundred changes a second for more than a thousand years. */
const NUMBERS_PER_ERA = 2 ** 42;
/** Number of eras: with 2 ** 42 numbers each, all revisions are safe integers (below 2 ** 53). */
const MAX_ERAS = 2 ** 11;

/** Error for an era or a revision number that is out of bounds. */
export class RevisionError extends Error {
  readonly reason = 'out-of-bounds';

  constructor(era: number, number: number) {
    super(`revision ${number} of era ${era} is out of bounds`);
    this.name = 'RevisionError';
  }
}

/** Combines an era and a number in it; throws a {@link RevisionError} when one of them is out of bounds. */
export function makeRevision(era: number, number: number): Revision {
  const isEraValid = Number.isInteger(era) && era >= 0 && era < MAX_ERAS;
  const isNumberValid = Number.isInteger(number) && number >= 0 && number < NUMBERS_PER_ERA;
  if (!isEraValid || !isNumberValid) {
    throw new RevisionError(era, number);
  }
  return era * NUMBERS_PER_ERA + number;
}

/** Returns the era of a revision: how often the store had been restored from an older copy by then. */
export function eraOf(revision: Revision): number {
  return Math.floor(revision / NUMBERS_PER_ERA);
}

/** Returns the number that the store itself uses for a revision, which is unique only within its era. */
export function numberInEra(revision: Revision): number {
  return revision % NUMBERS_PER_ERA;
}

/** True when a revision comes after the other in the store's history. */
export function isLaterRevision(revision: Revision, other: Revision): boolean {
  return revision > other;
}

/** True when the store was restored from an older copy between a revision and the other, later one. */
export function isOfEarlierEra(revision: Revision, other: Revision): boolean {
  return eraOf(revision) < eraOf(other);
}
