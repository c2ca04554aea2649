/** Tests the balance and the stability of the subsets of all entry hosts together. */
import { expect } from 'chai';
import fc from 'fast-check';

import { TargetRanking } from './target-ranking.js';

/** Entry hosts, targets, and the size of each subset. */
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

/** The targets in the subset of each member. */
type Subsets = ReadonlyMap<string, ReadonlySet<string>>;

function subsetsOf({ members, targets, size }: Case): Subsets {
  const subsetOf = (member: string): ReadonlySet<string> =>
    new Set(new TargetRanking(member, members).order(targets).slice(0, size));
  return new Map(members.map(member => [member, subsetOf(member)]));
}

function mostUses(subsets: Subsets, targets: readonly string[]): number {
  const all = [...subsets.values()];
  const usesOf = (target: string): number => all.filter(subset => subset.has(target)).length;
  return Math.max(...targets.map(usesOf));
}

// Number of places in all subsets that have a different target than before.
function changedPlaces(before: Subsets, after: Subsets): number {
  let count = 0;
  for (const [member, subset] of after) {
    const previous = before.get(member) ?? subset;
    count += [...subset].filter(target => !previous.has(target)).length;
  }
  return count;
}

describe('the order of targets at an entry host', () => {
  it('contains each target once, also for an entry host that is not registered', () => {
    fc.assert(
      fc.property(anyCase, fc.boolean(), ({ members, targets }, hasNoMembers) => {
        const order = new TargetRanking('newcomer', hasNoMembers ? [] : members).order(targets);
        expect([...order].sort()).to.deep.equal([...targets].sort());
      }),
    );
  });

  it('does not depend on the order in which members and targets are listed', () => {
    fc.assert(
      fc.property(anyCase, ({ members, targets }) => {
        const [self = ''] = members;
        const order = new TargetRanking(self, members).order(targets);
        const reversed = new TargetRanking(self, [...members].reverse()).order(
          [...targets].reverse(),
        );
        expect(reversed).to.deep.equal(order);
      }),
    );
  });

  it('puts each target into about equally many subsets, with many entry hosts and with few', () => {
    fc.assert(
      fc.property(anyCase, subsetCase => {
        const mean = (subsetCase.members.length * subsetCase.size) / subsetCase.targets.length;
        // A member that has already picked every target that is not full takes a full one: one use more.
        const limit = Math.ceil(mean * 1.1) + 1;
        expect(mostUses(subsetsOf(subsetCase), subsetCase.targets)).to.be.at.most(limit);
      }),
      { numRuns: 60 },
    );
  });

  it('changes few subsets when a target or a member is removed', () => {
    const largeCase = fc.record({
      seed: fc.integer({ min: 0, max: 1_000_000 }),
      members: fc.integer({ min: 60, max: 140 }),
      targets: fc.integer({ min: 15, max: 40 }),
    });
    fc.assert(
      fc.property(largeCase, ({ seed, members: memberCount, targets: targetCount }) => {
        const members = Array.from({ length: memberCount }, (_, index) => `entry-${index}`);
        const targets = Array.from({ length: targetCount }, (_, index) => `i-${seed + index}`);
        const before = subsetsOf({ members, targets, size: 3 });
        const places = memberCount * 3;
        const fewerTargets = { members, targets: targets.slice(1), size: 3 };
        const uses = [...before.values()].filter(subset => subset.has(targets[0] ?? '')).length;
        expect(changedPlaces(before, subsetsOf(fewerTargets))).to.be.at.most(uses + 0.1 * places);
        const fewerMembers = { members: members.slice(1), targets, size: 3 };
        expect(changedPlaces(before, subsetsOf(fewerMembers))).to.be.at.most(0.1 * places);
      }),
      // In the example, 30 places changed instead of at most 25: members displaced from a full target displaced others.
      { numRuns: 6, examples: [[{ seed: 0, members: 65, targets: 36 }]] },
    );
  });
});
