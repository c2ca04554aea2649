/** Which of two states of an object stands once the store has come back from an older copy. */
import { revisionIn } from '@hingescale/core';
import { expect } from 'chai';

import type { ObjectList, StoredObject } from './object-store.js';
import type { StateOrder } from './restored-list.js';
import { latestList, restoredList } from './restored-list.js';

const BEFORE = 1;
const AFTER = 2;
const NOTHING_REMOVED: ReadonlyMap<string, number> = new Map();

const byRevision: StateOrder = () => undefined;
const byValue: StateOrder = (listed, known) => Number(listed.value) >= Number(known.value);

function object(name: string, era: number, number: number, value: unknown = 0): StoredObject {
  return { name, revision: revisionIn(era, number), value };
}

function listOf(...objects: readonly StoredObject[]): ObjectList {
  return { objects, revision: revisionIn(AFTER, 50) };
}

describe('a list from an older copy', () => {
  it('gives way to what is known under a higher number, or not in it', () => {
    const known = [object('changed', BEFORE, 60), object('new', BEFORE, 61)];
    const list = listOf(object('changed', AFTER, 40));
    const { objects } = restoredList(
      list,
      { objects: known, removed: NOTHING_REMOVED },
      byRevision,
    );
    expect(objects).to.have.deep.members(known);
  });

  it('stands where it has the higher number, so that it was written since', () => {
    const written = object('a', AFTER, 45);
    const known = { objects: [object('a', BEFORE, 44)], removed: NOTHING_REMOVED };
    expect(restoredList(listOf(written), known, byRevision).objects).to.deep.equal([written]);
  });

  it('does not bring back what was removed after the copy', () => {
    const removed = new Map([['a', revisionIn(BEFORE, 60)]]);
    const list = listOf(object('a', AFTER, 40));
    expect(restoredList(list, { objects: [], removed }, byRevision).objects).to.have.length(0);
  });

  it('stands against what was read from the store since', () => {
    const known = { objects: [object('a', AFTER, 45)], removed: NOTHING_REMOVED };
    expect(restoredList(listOf(), known, byRevision).objects).to.have.length(0);
  });

  it('leaves the order to the objects where they tell it, whatever their numbers', () => {
    const later = object('a', AFTER, 10, 7);
    const known = object('a', BEFORE, 60, 6);
    const restored = restoredList(
      listOf(later),
      { objects: [known], removed: NOTHING_REMOVED },
      byValue,
    );
    expect(restored.objects).to.deep.equal([later]);
  });
});

describe('a list', () => {
  it('does not replace an object by one that is older by its own order', () => {
    const known = object('a', BEFORE, 60, 6);
    const list = latestList(listOf(object('a', AFTER, 50, 5)), new Map([['a', known]]), byValue);
    expect(list.objects).to.deep.equal([known]);
  });
});
