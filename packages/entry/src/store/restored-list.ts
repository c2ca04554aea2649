/**
 * What is known of a kind once the store has come back from an older copy.
 *
 * The list that it gives then lacks what was written since the copy, and shows again what was removed since.
 * Operators and hosts write theirs again within moments; until then what is known to be later stands.
 */
import type { Revision } from '@hingescale/core';
import { isOfEarlierEra, numberInEra } from '@hingescale/core';

import type { ObjectList, StoredObject } from './object-store.js';

/**
 * Whether a listed state of an object is later than the known one, where the objects themselves tell; undefined where
 * only their revisions do.
 */
export type StateOrder = (listed: StoredObject, known: StoredObject) => boolean | undefined;

/** What was known before the list. */
export type KnownObjects = {
  readonly objects: Iterable<StoredObject>;
  /** Removed objects by name, with the revision of their removal. */
  readonly removed: ReadonlyMap<string, Revision>;
};

/** The list with what is known to be later than its objects. */
export function restoredList(
  list: ObjectList,
  known: KnownObjects,
  isLater: StateOrder,
): ObjectList {
  const objects = new Map<string, StoredObject>();
  for (const object of list.objects) {
    const removedAt = known.removed.get(object.name);
    if (removedAt === undefined || !isCopied(object, removedAt)) {
      objects.set(object.name, object);
    }
  }
  for (const object of known.objects) {
    const listed = objects.get(object.name);
    const mayBeLater = isOfEarlierEra(object.revision, list.revision);
    if (mayBeLater && (listed === undefined || !isNews(listed, object, isLater))) {
      objects.set(object.name, object);
    }
  }
  return { objects: [...objects.values()], revision: list.revision };
}

/** The list with what the objects themselves tell to be later than its own. */
export function latestList(
  list: ObjectList,
  known: ReadonlyMap<string, StoredObject>,
  isLater: StateOrder,
): ObjectList {
  const objects = list.objects.map(listed => {
    const before = known.get(listed.name);
    return before !== undefined && isSuperseded(listed, before, isLater) ? before : listed;
  });
  return { objects, revision: list.revision };
}

/** True where the objects themselves tell that the listed state is older than the known one. */
export function isSuperseded(
  listed: StoredObject,
  known: StoredObject,
  isLater: StateOrder,
): boolean {
  return isLater(listed, known) === false;
}

function isNews(listed: StoredObject, known: StoredObject, isLater: StateOrder): boolean {
  return isLater(listed, known) ?? !isCopied(listed, known.revision);
}

// Whatever the copy holds has a number up to that of the copy, and so up to that of any later change.
function isCopied(listed: StoredObject, later: Revision): boolean {
  return numberInEra(listed.revision) <= numberInEra(later);
}
