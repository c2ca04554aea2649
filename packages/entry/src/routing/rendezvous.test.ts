import { expect } from 'chai';

import { isAmongTop, rendezvousWeight, topMembers } from './rendezvous.js';

const names = (prefix: string, count: number): readonly string[] =>
  Array.from({ length: count }, (_, at) => `${prefix}${at}`);

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

  it('spreads keys evenly over members with like names', () => {
    const members = names('entry-', 100);
    const taken = new Map<string, number>();
    for (const key of names('host-', 10_000)) {
      for (const member of topMembers(members, key, 3)) {
        taken.set(member, (taken.get(member) ?? 0) + 1);
      }
    }
    // Mean 300, standard deviation 17: within five standard deviations.
    for (const member of members) {
      expect(taken.get(member) ?? 0, member).to.be.within(215, 385);
    }
  });

  it('moves a key only to or from the member that came or went', () => {
    const members = names('entry-', 40);
    const without = members.filter(member => member !== 'entry-7');
    for (const key of names('host-', 200)) {
      const before = topMembers(members, key, 3);
      const after = topMembers(without, key, 3);
      const kept = before.filter(member => member !== 'entry-7');
      expect(after.slice(0, kept.length)).to.deep.equal(kept);
    }
  });

  it('tells of one member what the order of all tells', () => {
    const members = names('entry-', 30);
    for (const key of names('host-', 50)) {
      const top = members.filter(member => isAmongTop(member, members, key, 5));
      expect(top).to.have.members([...topMembers(members, key, 5)]);
    }
    expect(isAmongTop('entry-1', [], 'key', 1)).to.equal(true);
    expect(isAmongTop('entry-1', [], 'key', 0)).to.equal(false);
  });

  it('gives all members where there are fewer than asked for', () => {
    expect(topMembers(['b', 'a'], 'key', 3)).to.have.members(['a', 'b']);
    expect(topMembers([], 'key', 3)).to.deep.equal([]);
  });
});
