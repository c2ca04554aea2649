import { expect } from 'chai';

import { silentLog } from '../server/log.js';
import type { WriteAnswer } from '../store/object-store.js';
import { REFUSING_STORE } from '../testing/refusing-store.js';
import type { Member } from './member.js';
import { Membership } from './membership.js';

const SELF: Member = { name: 'self', address: '10.0.0.1:7340', failureDomain: 'a', power: 1 };

/** Creates a membership that has read a first list of registrations; undefined: it has read no list. */
function membershipWith(listed: readonly Member[] | undefined): {
  membership: Membership;
  created: string[];
} {
  const created: string[] = [];
  const create = (_kind: string, name: string, value: unknown): Promise<WriteAnswer> => {
    created.push(name);
    return Promise.resolve({ kind: 'written', object: { name, revision: 9, value } });
  };
  const store = { ...REFUSING_STORE, create };
  const membership = new Membership({ self: SELF, seeds: [], store, log: silentLog() });
  if (listed !== undefined) {
    const objects = listed.map(value => ({ name: value.name, revision: 1, value }));
    membership.observer.listed({ objects, revision: 1 });
  }
  return { membership, created };
}

describe('registration of an entry host', () => {
  it('is written by a host that is not listed', async () => {
    const { membership, created } = membershipWith([]);
    await membership.register();
    expect(created).to.deep.equal(['self']);
  });

  it('is left unchanged by a host that restarts', async () => {
    const { membership, created } = membershipWith([SELF]);
    await membership.register();
    expect(created).to.deep.equal([]);
  });

  it('is written by a host that restarts at another address', async () => {
    const { membership, created } = membershipWith([{ ...SELF, address: '10.0.0.9:7340' }]);
    await membership.register();
    expect(created).to.deep.equal(['self']);
  });

  it('is written soon even when no list is received', async () => {
    const { membership, created } = membershipWith(undefined);
    const startedAt = performance.now();
    await membership.register();
    expect(created).to.deep.equal(['self']);
    expect(performance.now() - startedAt).to.be.below(600);
  });
});

describe('view of the members', () => {
  const other = (name: string): Member => ({ ...SELF, name });
  const objectOf = (member: Member, revision: number) => ({
    name: member.name,
    revision,
    value: member,
  });

  it('is undefined until a registration has been read', () => {
    expect(membershipWith(undefined).membership.view).to.equal(undefined);
    expect(membershipWith([]).membership.view).to.equal(undefined);
  });

  it('is the same object while the same hosts are registered, and a new one when a host is added', () => {
    const { membership } = membershipWith([SELF, other('b')]);
    const { view } = membership;
    expect(view?.names).to.have.members(['self', 'b']);
    const moved = { ...other('b'), address: '10.0.0.7:7340' };
    membership.observer.changed([{ object: objectOf(moved, 2), deleted: false }]);
    const objects = [objectOf(moved, 2), objectOf(SELF, 1)];
    membership.observer.listed({ objects, revision: 3 });
    expect(membership.view).to.equal(view);
    membership.observer.changed([{ object: objectOf(other('c'), 4), deleted: false }]);
    expect(membership.view?.names).to.have.members(['self', 'b', 'c']);
    expect(membership.view?.since).to.be.at.least(view?.since ?? Infinity);
  });
});
