/** Covers fleets with hundreds of entry hosts and thousands of upstream hosts, most of which are not heads. */
import { expect } from 'chai';

import { KindCache } from './kind-cache.js';
import type { ObjectChange, StoredObject } from './object-store.js';
import { RoutingView } from './routing-view.js';

function object(name: string, revision: number): StoredObject {
  return { name, revision, value: revision };
}

function put(name: string, revision: number): ObjectChange {
  return { object: object(name, revision), deleted: false };
}

describe('routing view', () => {
  let cache: KindCache;
  let heads: Set<string>;
  let view: RoutingView;

  beforeEach(() => {
    cache = new KindCache();
    heads = new Set(['h1']);
    cache.applyList({ objects: [object('h1', 1), object('m1', 2), object('m2', 3)], revision: 3 });
    view = new RoutingView(cache, name => heads.has(name));
  });

  it('lists the routable hosts only', () => {
    const answer = view.answerSince(undefined);
    expect(answer).to.deep.equal({
      kind: 'list',
      list: { objects: [object('h1', 1)], revision: 3 },
    });
  });

  it('omits changes of other hosts, but advances the revision', () => {
    cache.applyChanges([put('m1', 4), put('m2', 5)], 5);
    expect(view.answerSince(3)).to.deep.equal({ kind: 'changes', changes: [], revision: 5 });
  });

  it('reports a host that becomes a head, and its removal when it no longer is one', () => {
    view.answerSince(undefined);
    heads.add('m1');
    cache.applyChanges([put('m1', 4)], 4);
    expect(view.answerSince(3)).to.deep.include({ changes: [put('m1', 4)] });
    heads.delete('m1');
    cache.applyChanges([put('m1', 5)], 5);
    const removal = { object: { name: 'm1', revision: 5, value: null }, deleted: true };
    expect(view.answerSince(4)).to.deep.include({ changes: [removal] });
  });

  it('reports the removal of a host that was routable when this process started', () => {
    heads.delete('h1');
    cache.applyChanges([put('h1', 4)], 4);
    const answer = view.answerSince(3);
    expect(answer?.kind === 'changes' && answer.changes[0]?.deleted).to.equal(true);
  });

  it('reports hosts that were removed', () => {
    view.answerSince(undefined);
    cache.applyChanges([{ object: object('h1', 4), deleted: true }], 4);
    const answer = view.answerSince(3);
    expect(answer?.kind === 'changes' && answer.changes[0]?.deleted).to.equal(true);
  });

  it('computes each answer once for any number of reads', () => {
    expect(view.answerSince(undefined)).to.equal(view.answerSince(undefined));
  });
});
