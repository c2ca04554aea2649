import { expect } from 'chai';

import { isAmongTop, rendezvousWeight, topMembers } from './rendezvous.js';

const names = (prefix: string, count: number): readonly string[] =>
  Array.from({ length: count }, (_, index) => `${prefix}${index}`);

describe('rendezvous hashing', () => {
  it('gives the same weights in every process', () => {
    expect(rendezvousWeight('entry-1', 'host-1')).to.equal(rendezvousWeight('entry-1', 'host-1'));
    expect(rendezvousWeight('entry-1', 'host-1')).to.not.equal(
      rendezvousWeight('entry-11', 'host-'),
    );
    expect(rendezvousWeight('a', 'bc')).to.not.equal(rendezvousWeight('ab', 'c'));
  });

  it('does not depend on the order of the members', () => {
    const members = names('entry-', 30);
    const reversed = [...members].reverse();
    for (const key of names('host-', 50)) {
      expect(topMembers(reversed, key, 3)).to.deep.equal(topMembers(members, key, 3));
    }
  });

  it('spreads keys evenly over members with similar names', () => {
    const members = names('entry-', 100);
    const keyCounts = new Map<string, number>();
    for (const key of names('host-', 10_000)) {
      for (const member of topMembers(members, key, 3)) {
        keyCounts.set(member, (keyCounts.get(member) ?? 0) + 1);
      }
    }
    // Mean 300, standard deviation 17: within five standard deviations.
    for (const member of members) {
      expect(keyCounts.get(member) ?? 0, member).to.be.within(215, 385);
    }
  });

  it('moves a key only to or from the member that was added or removed', () => {
    const members = names('entry-', 40);
    const without = members.filter(member => member !== 'entry-7');
    for (const key of names('host-', 200)) {
      const before = topMembers(members, key, 3);
      const after = topMembers(without, key, 3);
      const kept = before.filter(member => member !== 'entry-7');
      expect(after.slice(0, kept.length)).to.deep.equal(kept);
    }
  });

  it('agrees for a single member with the order of all members', () => {
    const members = names('entry-', 30);
    for (const key of names('host-', 50)) {
      const top = members.filter(member => isAmongTop(member, members, key, 5));
      expect(top).to.have.members([...topMembers(members, key, 5)]);
    }
    expect(isAmongTop('entry-1', [], 'key', 1)).to.equal(true);
    expect(isAmongTop('entry-1', [], 'key', 0)).to.equal(false);
  });

  it('returns all members where there are fewer than asked for', () => {
    expect(topMembers(['b', 'a'], 'key', 3)).to.have.members(['a', 'b']);
    expect(topMembers([], 'key', 3)).to.deep.equal([]);
  });
});
