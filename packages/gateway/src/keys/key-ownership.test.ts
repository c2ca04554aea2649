import type { KeyOwnerTable } from '@hingescale/core';
import { changeKeyOwners, emptyKeyTable, ownerOf } from '@hingescale/core';
import { loadHash, newUuid } from '@hingescale/runtime';
import { expect } from 'chai';

import { KeyOwnership } from './key-ownership.js';
import { parseKey } from './parsed-key.js';

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

// Returns a new key that has the given owner in each of the given sets of instances.
function keyOwnedBy(...path: readonly (readonly [string, readonly string[]])[]) {
  for (;;) {
    const name = parseKey(newUuid());
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

  it('a handover from one owner does not cover the keys of another', () => {
    const [, joined] = tables(two, three);
    const joiner = ownership('c');
    joiner.applyTable(joined, LEASE_MS, 0);
    joiner.recordHandover(joined.epoch, 'a', COMPLETE);
    const ofA = keyOwnedBy(['a', two], ['c', three]);
    const ofB = keyOwnedBy(['b', two], ['c', three]);
    expect(joiner.checkOwnership(ofA, 1).kind).to.equal('own');
    expect(joiner.checkOwnership(ofB, 1).kind).to.equal('unsure');
    joiner.applyTable({ ...joined }, 10 * LEASE_MS, 5 * LEASE_MS);
    expect(joiner.checkOwnership(ofB, 5 * LEASE_MS).kind).to.equal('lost');
  });

  it('an owner with incomplete records does not hand them over as complete', () => {
    const [, joined, left] = tables(two, three, ['a', 'c']);
    const owner = ownership('c');
    owner.applyTable(joined, LEASE_MS, 0);
    owner.recordHandover(joined.epoch, 'a', COMPLETE);
    owner.applyTable(left, 2 * LEASE_MS, 1);
    expect(owner.completeness.knownSince).to.be.greaterThan(Date.now());
  });

  it('ownership expires when it is not confirmed', () => {
    const [first] = tables(['a']);
    const owner = ownership('a');
    owner.applyTable(first, LEASE_MS, 0);
    const key = keyOwnedBy(['a', ['a']]);
    expect(owner.checkOwnership(key, LEASE_MS - 1).kind).to.equal('own');
    expect(owner.checkOwnership(key, LEASE_MS).kind).to.equal('unsure');
  });

  it('an issued key gets one new owner, which needs a handover from its home', () => {
    const [, rest] = tables(three, two);
    const name = parseKey(`${newUuid()}~d~c`);
    if (name === undefined) {
      throw new Error('not a key');
    }
    const newOwner = ownerOf(name.text, two, hash) ?? '';
    const other = two.find(instance => instance !== newOwner) ?? '';
    const fromHome = { knownSince: -Infinity, homes: new Set(['c']) };
    for (const instance of two) {
      const owner = ownership(instance);
      owner.applyTable(rest, LEASE_MS, 0);
      owner.recordHandover(rest.epoch, 'c', fromHome);
      expect(owner.checkOwnership(name, 1).kind).to.equal(instance === newOwner ? 'own' : 'other');
    }
    const uninformed = ownership(newOwner);
    uninformed.applyTable(rest, 10 * LEASE_MS, 0);
    uninformed.recordHandover(rest.epoch, other, COMPLETE);
    expect(uninformed.checkOwnership(name, 5 * LEASE_MS).kind).to.equal('lost');
  });
});
