/**
 * Points of the store's history.
 *
 * A store that comes back from an older copy gives revision numbers out again, and says so by counting an era up.
 * A {@link Revision} is both in one number, the era in its high part, so that the later of two revisions is the
 * greater.
 */

/** A point of the store's history; see {@link revisionIn}. */
export type Revision = number;

/** Numbers of one era: more than a thousand years of a hundred changes a second. */
const NUMBERS_PER_ERA = 2 ** 42;
/** Eras that fit into exact whole numbers above the numbers of each. */
const MOST_ERAS = 2 ** 11;

/** A revision that can not be. */
export class RevisionError extends Error {
  readonly reason = 'out-of-bounds';

  constructor(era: number, number: number) {
    super(`no revision: ${number} of era ${era}`);
    this.name = 'RevisionError';
  }
}

/** The revision with a number of an era; throws a {@link RevisionError} where one of them is out of bounds. */
export function revisionIn(era: number, number: number): Revision {
  const isEra = Number.isInteger(era) && era >= 0 && era < MOST_ERAS;
  const isNumber = Number.isInteger(number) && number >= 0 && number < NUMBERS_PER_ERA;
  if (!isEra || !isNumber) {
    throw new RevisionError(era, number);
  }
  return era * NUMBERS_PER_ERA + number;
}

/** How often the store had come back from an older copy, at a revision. */
export function eraOf(revision: Revision): number {
  return Math.floor(revision / NUMBERS_PER_ERA);
}

/** The number by which the store itself knows a revision, within its era. */
export function numberInEra(revision: Revision): number {
  return revision % NUMBERS_PER_ERA;
}

/** True for a revision after another in the store's history. */
export function isLaterRevision(revision: Revision, other: Revision): boolean {
  return revision > other;
}

/** True where the store has come back from an older copy between two revisions. */
export function isOfEarlierEra(revision: Revision, other: Revision): boolean {
  return eraOf(revision) < eraOf(other);
}
