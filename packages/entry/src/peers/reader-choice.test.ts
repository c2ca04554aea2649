import { expect } from 'chai';

import type { KindReader } from '../store/kind-reader.js';
import type { Candidates, Member } from './member.js';
import { candidatesOf, rankMembers } from './member.js';
import { PeerReaderChoice } from './reader-choice.js';

function member(name: string, power: number, failureDomain = 'a'): Member {
  return { name, address: `${name}:1`, failureDomain, power };
}

function reader(name: string): KindReader {
  return { name, hasViews: true, read: () => Promise.reject(new Error('not used')) };
}

const STORE = reader('store');

function choiceOf(candidates: Candidates, now?: () => number): PeerReaderChoice {
  const readers = new Map<string, KindReader>();
  return new PeerReaderChoice({
    store: STORE,
    now,
    candidates: () => candidates,
    readerOf: ({ address }) => {
      const known = readers.get(address) ?? reader(address);
      readers.set(address, known);
      return known;
    },
  });
}

describe('candidates to follow', () => {
  const members = [
    member('weak', 0.5),
    member('strong', 2),
    member('middle', 1),
    member('far', 3, 'b'),
    member('far-too', 1, 'b'),
  ];

  const namesOf = (some: readonly Member[]): readonly string[] => some.map(({ name }) => name);

  it('are higher-ranked hosts, those of the own failure domain first, and others as a fallback', () => {
    const { above, below } = candidatesOf(member('middle', 1), members);
    expect(namesOf(above)).to.deep.equal(['strong', 'far', 'far-too']);
    expect(namesOf(below)).to.deep.equal(['weak']);
  });

  it('leave a single host of all failure domains to follow the store', () => {
    const following = members.filter(self => candidatesOf(self, members).above.length === 0);
    expect(namesOf(following)).to.deep.equal(['far']);
  });

  it('rank before the host in the order of all hosts, so that no circle arises', () => {
    const alike = ['a', 'b', 'c', 'd', 'e', 'f'].map((name, index) =>
      member(name, 1, `z${index % 2}`),
    );
    const order = namesOf(rankMembers(alike));
    for (const self of alike) {
      for (const { name } of candidatesOf(self, alike).above) {
        expect(order.indexOf(name)).to.be.below(order.indexOf(self.name));
      }
    }
  });

  it('mark the first three hosts of a failure domain, whichever hosts answer', () => {
    const members = Array.from({ length: 10 }, (_, index) => member(`m${index}`, 10 - index));
    const first = members.map(self => candidatesOf(self, members).isAmongFirst);
    expect(first.filter(Boolean)).to.have.length(3);
    expect(first.slice(0, 3)).to.deep.equal([true, true, true]);
    expect(candidatesOf(member('other', 0.1, 'b'), members).isAmongFirst).to.equal(true);
  });
});

describe('choice of a reader', () => {
  const candidates = { above: [member('up', 2)], below: [member('down', 0.5)], isAmongFirst: true };

  it('is the higher-ranked peer, then the store, then a lower-ranked peer', () => {
    const choice = choiceOf(candidates);
    const up = choice.choose();
    expect(up.name).to.equal('up:1');
    expect(choice.followsStore).to.equal(false);
    choice.recordOutcome(up, 'failed');
    expect(choice.choose()).to.equal(STORE);
    expect(choice.followsStore).to.equal(true);
    choice.recordOutcome(STORE, 'failed');
    expect(choice.choose().name).to.equal('down:1');
  });

  it('lets no host follow one that follows a lower-ranked peer', () => {
    const choice = choiceOf(candidates);
    choice.recordOutcome(choice.choose(), 'stale');
    choice.choose();
    expect(choice.mayBeFollowed).to.equal(true);
    choice.recordOutcome(STORE, 'failed');
    choice.choose();
    expect(choice.mayBeFollowed).to.equal(false);
  });

  it('returns to the higher-ranked peer when a read of it is fresh again', () => {
    const choice = choiceOf(candidates);
    const up = choice.choose();
    choice.recordOutcome(up, 'failed');
    expect(choice.choose()).to.equal(STORE);
    choice.recordOutcome(up, 'fresh');
    expect(choice.choose()).to.equal(up);
  });

  it('tries a peer that never answers less and less often', () => {
    let now = 0;
    const choice = choiceOf(candidates, () => now);
    let tries = 0;
    for (; now < 120_000; now += 100) {
      const chosen = choice.choose();
      if (chosen.name === 'up:1') {
        tries += 1;
        choice.recordOutcome(chosen, 'failed');
      }
    }
    expect(tries).to.be.within(3, 8);
  });

  it('lets one kind at a time probe the store, and rarely while there are higher-ranked peers', () => {
    let now = 0;
    const choice = choiceOf({ above: [member('up', 2)], below: [], isAmongFirst: true }, () => now);
    let storeCalls = 0;
    for (; now < 10_000; now += 10) {
      for (let kind = 0; kind < 3; kind++) {
        if (choice.usableInMs() > 0) {
          continue;
        }
        const chosen = choice.choose();
        storeCalls += chosen === STORE ? 1 : 0;
        choice.recordOutcome(chosen, chosen === STORE ? 'failed' : 'stale');
      }
    }
    expect(storeCalls).to.be.within(4, 6);
  });

  it('is not changed by peek: the probe of the store is left to the next call of choose', () => {
    let now = 0;
    const choice = choiceOf({ above: [member('up', 2)], below: [], isAmongFirst: true }, () => now);
    choice.recordOutcome(STORE, 'failed');
    choice.recordOutcome(choice.choose(), 'stale');
    now = 3_000;
    choice.recordOutcome(choice.choose(), 'stale');
    expect(choice.peek()).to.equal(STORE);
    expect(choice.usableInMs()).to.equal(0);
    expect(choice.choose()).to.equal(STORE);
    expect(choice.usableInMs()).to.be.greaterThan(0);
  });

  it('reads an urgent kind from the store after two failed peers, and others from the next peer', () => {
    const above = ['p1', 'p2', 'p3'].map(name => member(name, 2));
    const choice = choiceOf({ above, below: [], isAmongFirst: false });
    choice.recordOutcome(choice.choose(true), 'failed');
    expect(choice.choose(true).name).to.equal('p2:1');
    choice.recordOutcome(choice.choose(true), 'failed');
    expect(choice.choose(true)).to.equal(STORE);
    expect(choice.choose().name).to.equal('p3:1');
    expect(choice.followsStore).to.equal(false);
    choice.recordOutcome(STORE, 'fresh');
    expect(choice.choose(true).name).to.equal('p3:1');
  });

  it('does not read an urgent kind from a store that has just failed', () => {
    const above = ['p1', 'p2', 'p3'].map(name => member(name, 2));
    const choice = choiceOf({ above, below: [], isAmongFirst: false });
    choice.recordOutcome(choice.choose(), 'failed');
    choice.recordOutcome(choice.choose(), 'failed');
    choice.recordOutcome(STORE, 'failed');
    expect(choice.choose(true).name).to.equal('p3:1');
  });

  it('returns the time until a reader may be used again', () => {
    let now = 0;
    const choice = choiceOf({ above: [member('up', 2)], below: [], isAmongFirst: true }, () => now);
    choice.recordOutcome(choice.choose(), 'stale');
    expect(choice.usableInMs()).to.equal(0);
    choice.recordOutcome(STORE, 'failed');
    expect(choice.usableInMs()).to.equal(200);
    now = 200;
    expect(choice.usableInMs()).to.equal(0);
  });

  it('uses a stale peer again within half a second, however long it has been stale', () => {
    let now = 0;
    const choice = choiceOf({ above: [member('up', 2)], below: [], isAmongFirst: true }, () => now);
    const up = choice.choose();
    for (; now < 8_000; now += 500) {
      choice.recordOutcome(up, 'stale');
    }
    expect(choice.choose()).to.equal(up);
  });
});
