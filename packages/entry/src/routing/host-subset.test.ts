/** Balance and stability of the subsets of all entry hosts together. */
import { expect } from 'chai';
import fc from 'fast-check';

import { HostSubset } from './host-subset.js';

type Case = { members: string[]; targets: string[]; size: number };

const anyName = fc.string({ minLength: 1, maxLength: 12 });
const anyCase: fc.Arbitrary<Case> = fc
  .record({
    members: fc.uniqueArray(anyName, { minLength: 1, maxLength: 80 }),
    targets: fc.uniqueArray(anyName, { minLength: 2, maxLength: 40 }),
    size: fc.integer({ min: 1, max: 8 }),
  })
  .map(({ members, targets, size }) => ({
    members,
    targets,
    size: Math.min(size, targets.length),
  }));

type Subsets = ReadonlyMap<string, ReadonlySet<string>>;

function subsetsOf({ members, targets, size }: Case): Subsets {
  const subsetOf = (member: string): ReadonlySet<string> =>
    new Set(new HostSubset(member, members).order(targets).slice(0, size));
  return new Map(members.map(member => [member, subsetOf(member)]));
}

function mostUses(subsets: Subsets, targets: readonly string[]): number {
  const all = [...subsets.values()];
  const usesOf = (target: string): number => all.filter(subset => subset.has(target)).length;
  return Math.max(...targets.map(usesOf));
}

// Number of places in all subsets that hold another target than before.
function moved(before: Subsets, after: Subsets): number {
  let count = 0;
  for (const [member, subset] of after) {
    const held = before.get(member) ?? subset;
    count += [...subset].filter(target => !held.has(target)).length;
  }
  return count;
}

describe('the order of targets at an entry host', () => {
  it('has each target once, also for a host that is not registered', () => {
    fc.assert(
      fc.property(anyCase, fc.boolean(), ({ members, targets }, isAlone) => {
        const order = new HostSubset('newcomer', isAlone ? [] : members).order(targets);
        expect([...order].sort()).to.deep.equal([...targets].sort());
      }),
    );
  });

  it('does not depend on the order in which members and targets are told', () => {
    fc.assert(
      fc.property(anyCase, ({ members, targets }) => {
        const [self = ''] = members;
        const told = new HostSubset(self, members).order(targets);
        const other = new HostSubset(self, [...members].reverse()).order([...targets].reverse());
        expect(other).to.deep.equal(told);
      }),
    );
  });

  it('puts each target into about equally many subsets, with many hosts and with few', () => {
    fc.assert(
      fc.property(anyCase, one => {
        const mean = (one.members.length * one.size) / one.targets.length;
        // A member that already has every target that is not full takes a full one: one use more.
        const most = Math.ceil(mean * 1.1) + 1;
        expect(mostUses(subsetsOf(one), one.targets)).to.be.at.most(most);
      }),
      { numRuns: 60 },
    );
  });

  it('changes few subsets when a target or a member goes', () => {
    const many = fc.record({
      seed: fc.integer({ min: 0, max: 1_000_000 }),
      members: fc.integer({ min: 60, max: 140 }),
      targets: fc.integer({ min: 15, max: 40 }),
    });
    fc.assert(
      fc.property(many, ({ seed, members: memberCount, targets: targetCount }) => {
        const members = Array.from({ length: memberCount }, (_, index) => `entry-${index}`);
        const targets = Array.from({ length: targetCount }, (_, index) => `i-${seed + index}`);
        const before = subsetsOf({ members, targets, size: 3 });
        const places = memberCount * 3;
        const lessTargets = { members, targets: targets.slice(1), size: 3 };
        const held = [...before.values()].filter(subset => subset.has(targets[0] ?? '')).length;
        expect(moved(before, subsetsOf(lessTargets))).to.be.at.most(held + 0.1 * places);
        const lessMembers = { members: members.slice(1), targets, size: 3 };
        expect(moved(before, subsetsOf(lessMembers))).to.be.at.most(0.1 * places);
      }),
      // The example moved 30 places in place of at most 25: hosts pushed out of a full target pushed others on.
      { numRuns: 6, examples: [[{ seed: 0, members: 65, targets: 36 }]] },
    );
  });
});
