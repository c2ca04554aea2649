/** How many targets an entry host uses first. */
import { expect } from 'chai';

import { Counters } from '../server/metrics.js';
import { testHost } from '../testing/groups.js';
import { SubsetChoice } from './subset-choice.js';

const KEY = { service: 'lm', model: 'm' };
const MINUTE_MS = 60_000;

function subsets(names: readonly string[] | undefined, idleMs = 4_000): SubsetChoice {
  return new SubsetChoice({
    self: 'e0',
    membership: names === undefined ? undefined : { names },
    connections: { idleMs: () => idleMs, isConnected: () => false },
    counters: new Counters(),
  });
}

function manyNames(count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `e${index}`);
}

// Notes the requests of a minute at a constant rate.
function atRate(choice: SubsetChoice, perS: number): SubsetChoice {
  for (let now = 0; now <= MINUTE_MS; now += 1_000 / perS) {
    choice.noteRequest(KEY, now);
  }
  return choice;
}

describe('the size of a subset', () => {
  it('is a few for a host with few requests, and never more than there are targets', () => {
    const choice = atRate(subsets(manyNames(100)), 1);
    expect(choice.sizeOf(KEY, 30, MINUTE_MS)).to.equal(3);
    expect(choice.sizeOf(KEY, 2, MINUTE_MS)).to.equal(2);
    expect(choice.sizeOf(KEY, 0, MINUTE_MS)).to.equal(0);
  });

  it('rises with the own requests and with the time for which connections are kept', () => {
    const members = manyNames(100);
    expect(atRate(subsets(members), 5).sizeOf(KEY, 30, MINUTE_MS)).to.equal(5);
    expect(atRate(subsets(members, 8_000), 5).sizeOf(KEY, 30, MINUTE_MS)).to.equal(10);
    expect(atRate(subsets(members), 50).sizeOf(KEY, 30, MINUTE_MS)).to.equal(30);
  });

  it('falls when requests stay away', () => {
    const choice = atRate(subsets(manyNames(100)), 5);
    expect(choice.sizeOf(KEY, 30, 2 * MINUTE_MS)).to.equal(3);
  });

  it('leaves no target unused where entry hosts are few, or know nobody yet', () => {
    expect(subsets(manyNames(4)).sizeOf(KEY, 20, 0)).to.equal(15);
    expect(subsets([]).sizeOf(KEY, 20, 0)).to.equal(20);
  });

  it('is all targets where entry hosts do not know each other', () => {
    expect(subsets(undefined).sizeOf(KEY, 20, 0)).to.equal(20);
  });
});

describe('the ranks of targets', () => {
  it('follow the members', () => {
    const ids = Array.from({ length: 12 }, (_, index) => testHost(`i-${index}`).id);
    const membership = { names: manyNames(40) };
    const choice = new SubsetChoice({
      self: 'e0',
      membership,
      connections: { idleMs: () => 4_000, isConnected: () => false },
      counters: new Counters(),
    });
    const before = choice.ranksOf(KEY, ids);
    expect(choice.ranksOf(KEY, [...ids]), 'the same hosts').to.equal(before);
    membership.names = manyNames(41);
    expect(choice.ranksOf(KEY, ids), 'another member').not.to.equal(before);
    expect(choice.ranksOf(KEY, ids.slice(1)).size, 'a host less').to.equal(11);
  });
});
