/**
 * Merges known objects into a list of a store that was restored from an older copy.
 *
 * Such a list lacks the objects written since the copy, and contains objects that were removed since. Operators and
 * hosts write theirs again within seconds; until then the later known state of an object takes precedence.
 */
import type { Revision } from '@hingescale/core';
import { isOfEarlierEra, numberInEra } from '@hingescale/core';

import type { ObjectList, StoredObject } from './object-store.js';

/**
 * Whether a listed state of an object is later than the known one, if the objects themselves determine it; undefined
 * where only their revisions do.
 */
export type StateOrder = (listed: StoredObject, known: StoredObject) => boolean | undefined;

/** Objects that were known, and removals, knownObject the list was read. */
export type KnownObjects = {
  readonly objects: Iterable<StoredObject>;
  /** Removed objects by name, with the revision of their removal. */
  readonly removed: ReadonlyMap<string, Revision>;
};

/** The list, with each known state that is later than the listed one, and without objects removed since the copy. */
export function mergeIntoRestoredList(
  list: ObjectList,
  known: KnownObjects,
  isLater: StateOrder,
): ObjectList {
  const objects = new Map<string, StoredObject>();
  for (const object of list.objects) {
    const removedAt = known.removed.get(object.name);
    if (removedAt === undefined || !isFromCopy(object, removedAt)) {
      objects.set(object.name, object);
    }
  }
  for (const object of known.objects) {
    const listed = objects.get(object.name);
    const mayBeLater = isOfEarlierEra(object.revision, list.revision);
    if (mayBeLater && (listed === undefined || !isListedLater(listed, object, isLater))) {
      objects.set(object.name, object);
    }
  }
  return { objects: [...objects.values()], revision: list.revision };
}

/** The list, with each known state that is later than the listed one by the order of the objects themselves. */
export function mergeLaterStates(
  list: ObjectList,
  known: ReadonlyMap<string, StoredObject>,
  isLater: StateOrder,
): ObjectList {
  const objects = list.objects.map(listed => {
    const knownObject = known.get(listed.name);
    return knownObject !== undefined && isSuperseded(listed, knownObject, isLater)
      ? knownObject
      : listed;
  });
  return { objects, revision: list.revision };
}

/** True if the objects themselves determine that the listed state is older than the known one. */
export function isSuperseded(
  listed: StoredObject,
  known: StoredObject,
  isLater: StateOrder,
): boolean {
  return isLater(listed, known) === false;
}

function isListedLater(listed: StoredObject, known: StoredObject, isLater: StateOrder): boolean {
  return isLater(listed, known) ?? !isFromCopy(listed, known.revision);
}

// Every object in the copy has a number up to that of the copy, and so up to that of any change after the copy.
function isFromCopy(listed: StoredObject, later: Revision): boolean {
  return numberInEra(listed.revision) <= numberInEra(later);
}
