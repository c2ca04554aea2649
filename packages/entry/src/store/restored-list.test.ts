/** Tests which of two states of an object takes precedence after a restore of the store from an older copy. */
import { makeRevision } from '@hingescale/core';
import { expect } from 'chai';

import type { ObjectList, StoredObject } from './object-store.js';
import type { StateOrder } from './restored-list.js';
import { mergeIntoRestoredList, mergeLaterStates } from './restored-list.js';

const ERA_BEFORE = 1;
const ERA_AFTER = 2;
const NOTHING_REMOVED: ReadonlyMap<string, number> = new Map();

const byRevision: StateOrder = () => undefined;
const byValue: StateOrder = (listed, known) => Number(listed.value) >= Number(known.value);

function object(name: string, era: number, number: number, value: unknown = 0): StoredObject {
  return { name, revision: makeRevision(era, number), value };
}

function listOf(...objects: readonly StoredObject[]): ObjectList {
  return { objects, revision: makeRevision(ERA_AFTER, 50) };
}

describe('a list from an older copy', () => {
  it('is superseded by known objects with a higher number, or missing from the list', () => {
    const known = [object('changed', ERA_BEFORE, 60), object('new', ERA_BEFORE, 61)];
    const list = listOf(object('changed', ERA_AFTER, 40));
    const { objects } = mergeIntoRestoredList(
      list,
      { objects: known, removed: NOTHING_REMOVED },
      byRevision,
    );
    expect(objects).to.have.deep.members(known);
  });

  it('takes precedence where its number is higher, since the object was written after the restore', () => {
    const written = object('a', ERA_AFTER, 45);
    const known = { objects: [object('a', ERA_BEFORE, 44)], removed: NOTHING_REMOVED };
    expect(mergeIntoRestoredList(listOf(written), known, byRevision).objects).to.deep.equal([
      written,
    ]);
  });

  it('does not restore objects that were removed after the copy', () => {
    const removed = new Map([['a', makeRevision(ERA_BEFORE, 60)]]);
    const list = listOf(object('a', ERA_AFTER, 40));
    expect(
      mergeIntoRestoredList(list, { objects: [], removed }, byRevision).objects,
    ).to.have.length(0);
  });

  it('takes precedence over objects read from the store since the restore', () => {
    const known = { objects: [object('a', ERA_AFTER, 45)], removed: NOTHING_REMOVED };
    expect(mergeIntoRestoredList(listOf(), known, byRevision).objects).to.have.length(0);
  });

  it('follows the order of the objects themselves where they have one, whatever their numbers', () => {
    const later = object('a', ERA_AFTER, 10, 7);
    const known = object('a', ERA_BEFORE, 60, 6);
    const restored = mergeIntoRestoredList(
      listOf(later),
      { objects: [known], removed: NOTHING_REMOVED },
      byValue,
    );
    expect(restored.objects).to.deep.equal([later]);
  });
});

describe('a list', () => {
  it('does not replace an object by one that is older by its own order', () => {
    const known = object('a', ERA_BEFORE, 60, 6);
    const list = mergeLaterStates(
      listOf(object('a', ERA_AFTER, 50, 5)),
      new Map([['a', known]]),
      byValue,
    );
    expect(list.objects).to.deep.equal([known]);
  });
});
