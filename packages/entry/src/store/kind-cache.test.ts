import { expect } from 'chai';

import { KindCache } from './kind-cache.js';
import type { ObjectChange } from './object-store.js';

function put(name: string, revision: number): ObjectChange {
  return { object: { name, revision, value: revision }, deleted: false };
}

describe('kind cache', () => {
  it('answers with the newest change of each object since a revision', () => {
    const cache = new KindCache();
    cache.applyList({ objects: [], revision: 10 });
    cache.applyChanges([put('a', 11), put('b', 12)], 12);
    cache.applyChanges([put('a', 14)], 14);
    expect(cache.answerSince(12)).to.deep.equal({
      kind: 'changes',
      changes: [put('a', 14)],
      revision: 14,
    });
    const all = cache.answerSince(10);
    expect(all?.kind === 'changes' && all.changes.map(change => change.object.revision)).to.eql([
      14, 12,
    ]);
  });

  it('never goes back to an older revision', () => {
    const cache = new KindCache();
    cache.applyList({ objects: [put('a', 5).object], revision: 20 });
    expect(cache.applyList({ objects: [], revision: 19 })).to.equal(false);
    expect(cache.applyChanges([put('a', 4)], 18)).to.equal(false);
    expect(cache.answerSince(undefined)).to.deep.equal({
      kind: 'list',
      list: { objects: [put('a', 5).object], revision: 20 },
    });
  });

  it('answers that the history has expired rather than omit a change', () => {
    const cache = new KindCache();
    cache.applyList({ objects: [], revision: 1 });
    for (let revision = 2; revision < 400; revision++) {
      cache.applyChanges([put(`o${revision}`, revision)], revision);
    }
    expect(cache.answerSince(1)).to.deep.equal({ kind: 'expired' });
    const rest = cache.answerSince(300);
    expect(rest?.kind === 'changes' && rest.changes.length).to.equal(99);
  });

  it('keeps a reader waiting until there are changes', async () => {
    const cache = new KindCache();
    cache.applyList({ objects: [], revision: 1 });
    const startedAt = performance.now();
    const waiting = cache.waitForChanges(1, 2_000);
    setTimeout(() => cache.applyChanges([], 2), 10);
    setTimeout(() => cache.applyChanges([put('a', 3)], 3), 40);
    await waiting;
    expect(performance.now() - startedAt).to.be.within(35, 500);
  });
});
