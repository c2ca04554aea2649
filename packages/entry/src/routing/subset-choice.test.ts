/** Tests the size of the subset of targets that an entry host prefers, and the cached ranks. */
import { expect } from 'chai';

import { Counters } from '../server/metrics.js';
import { testHost } from '../testing/groups.js';
import { SubsetChoice } from './subset-choice.js';

const KEY = { service: 'lm', model: 'm' };
const MINUTE_MS = 60_000;

function subsetChoice(names: readonly string[] | undefined, idleMs = 4_000): SubsetChoice {
  return new SubsetChoice({
    self: 'e0',
    membership: names === undefined ? undefined : { names },
    connections: { idleMs: () => idleMs, isConnected: () => false },
    counters: new Counters(),
  });
}

function memberNames(count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `e${index}`);
}

// Counts the requests of one minute at a constant rate.
function withRequests(choice: SubsetChoice, requestsPerSecond: number): SubsetChoice {
  for (let now = 0; now <= MINUTE_MS; now += 1_000 / requestsPerSecond) {
    choice.noteRequest(KEY, now);
  }
  return choice;
}

describe('the size of a subset', () => {
  it('is the minimum for an entry host with few requests, and never more than there are targets', () => {
    const choice = withRequests(subsetChoice(memberNames(100)), 1);
    expect(choice.sizeOf(KEY, 30, MINUTE_MS)).to.equal(3);
    expect(choice.sizeOf(KEY, 2, MINUTE_MS)).to.equal(2);
    expect(choice.sizeOf(KEY, 0, MINUTE_MS)).to.equal(0);
  });

  it('grows with the requests of the entry host and with the time for which connections are kept', () => {
    const members = memberNames(100);
    expect(withRequests(subsetChoice(members), 5).sizeOf(KEY, 30, MINUTE_MS)).to.equal(5);
    expect(withRequests(subsetChoice(members, 8_000), 5).sizeOf(KEY, 30, MINUTE_MS)).to.equal(10);
    expect(withRequests(subsetChoice(members), 50).sizeOf(KEY, 30, MINUTE_MS)).to.equal(30);
  });

  it('falls when there are no more requests', () => {
    const choice = withRequests(subsetChoice(memberNames(100)), 5);
    expect(choice.sizeOf(KEY, 30, 2 * MINUTE_MS)).to.equal(3);
  });

  it('leaves no target unused where there are few entry hosts, or none is known yet', () => {
    expect(subsetChoice(memberNames(4)).sizeOf(KEY, 20, 0)).to.equal(15);
    expect(subsetChoice([]).sizeOf(KEY, 20, 0)).to.equal(20);
  });

  it('is all targets where the entry host has no peers', () => {
    expect(subsetChoice(undefined).sizeOf(KEY, 20, 0)).to.equal(20);
  });
});

describe('the ranks of targets', () => {
  it('are computed again when the members or the targets change', () => {
    const ids = Array.from({ length: 12 }, (_, index) => testHost(`i-${index}`).id);
    const membership = { names: memberNames(40) };
    const choice = new SubsetChoice({
      self: 'e0',
      membership,
      connections: { idleMs: () => 4_000, isConnected: () => false },
      counters: new Counters(),
    });
    const before = choice.ranksOf(KEY, ids);
    expect(choice.ranksOf(KEY, [...ids]), 'the same hosts').to.equal(before);
    membership.names = memberNames(41);
    expect(choice.ranksOf(KEY, ids), 'one more member').not.to.equal(before);
    expect(choice.ranksOf(KEY, ids.slice(1)).size, 'one host less').to.equal(11);
  });
});
