import type { KeyOwnerTable } from '@hingescale/core';
import { changeKeyOwners, emptyKeyTable, ownerOf } from '@hingescale/core';
import { loadHash, newUuid } from '@hingescale/runtime';
import { expect } from 'chai';

import { parseKeyName } from './key-name.js';
import { KeyOwnership } from './key-ownership.js';

const LEASE_MS = 1_000;
const SKEW_MS = 100;
const MEMORY_MS = 600_000;
const COMPLETE = { knownSince: -Infinity, homes: new Set<string>() };

const hash = await loadHash();

function tables(...ownerSets: readonly (readonly string[])[]): KeyOwnerTable[] {
  const result: KeyOwnerTable[] = [];
  let table = emptyKeyTable(LEASE_MS);
  for (const instances of ownerSets) {
    const owners = instances.map(instance => ({ instance, address: '', failureDomain: 'd' }));
    table = changeKeyOwners(table, owners, Date.now(), MEMORY_MS);
    result.push(table);
  }
  return result;
}

// A fresh key that has these owners, one for each set of instances.
function keyOwnedBy(...path: readonly (readonly [string, readonly string[]])[]) {
  for (;;) {
    const name = parseKeyName(newUuid());
    if (name && path.every(([owner, set]) => ownerOf(name.text, set, hash) === owner)) {
      return name;
    }
  }
}

function ownership(instance: string): KeyOwnership {
  return new KeyOwnership({ instance, clockSkewMs: SKEW_MS, hash });
}

describe('key ownership', () => {
  const two = ['a', 'b'];
  const three = ['a', 'b', 'c'];

  it('a handover from one owner says nothing of the keys of another', () => {
    const [, joined] = tables(two, three);
    const joiner = ownership('c');
    joiner.take(joined, LEASE_MS, 0);
    joiner.noteHandover(joined.epoch, 'a', COMPLETE);
    const ofA = keyOwnedBy(['a', two], ['c', three]);
    const ofB = keyOwnedBy(['b', two], ['c', three]);
    expect(joiner.judge(ofA, 1).kind).to.equal('own');
    expect(joiner.judge(ofB, 1).kind).to.equal('unsure');
    joiner.take({ ...joined }, 10 * LEASE_MS, 5 * LEASE_MS);
    expect(joiner.judge(ofB, 5 * LEASE_MS).kind).to.equal('lost');
  });

  it('what an owner did not know it can not hand on as complete', () => {
    const [, joined, left] = tables(two, three, ['a', 'c']);
    const relay = ownership('c');
    relay.take(joined, LEASE_MS, 0);
    relay.noteHandover(joined.epoch, 'a', COMPLETE);
    relay.take(left, 2 * LEASE_MS, 1);
    expect(relay.completeness.knownSince).to.be.greaterThan(Date.now());
  });

  it('ownership lapses when it is not confirmed', () => {
    const [first] = tables(['a']);
    const owner = ownership('a');
    owner.take(first, LEASE_MS, 0);
    const key = keyOwnedBy(['a', ['a']]);
    expect(owner.judge(key, LEASE_MS - 1).kind).to.equal('own');
    expect(owner.judge(key, LEASE_MS).kind).to.equal('unsure');
  });

  it('an issued key has one heir, who must have been told by its home', () => {
    const [, rest] = tables(three, two);
    const name = parseKeyName(`${newUuid()}~d~c`);
    if (name === undefined) {
      throw new Error('not a key');
    }
    const heir = ownerOf(name.text, two, hash) ?? '';
    const other = two.find(instance => instance !== heir) ?? '';
    const told = { knownSince: -Infinity, homes: new Set(['c']) };
    for (const instance of two) {
      const owner = ownership(instance);
      owner.take(rest, LEASE_MS, 0);
      owner.noteHandover(rest.epoch, 'c', told);
      expect(owner.judge(name, 1).kind).to.equal(instance === heir ? 'own' : 'other');
    }
    const untold = ownership(heir);
    untold.take(rest, 10 * LEASE_MS, 0);
    untold.noteHandover(rest.epoch, other, COMPLETE);
    expect(untold.judge(name, 5 * LEASE_MS).kind).to.equal('lost');
  });
});
