/** The patterns: members are told to leave a group whose head is unreachable; hosts lose the store. */
import { expect } from 'chai';

import type { HostEntry } from '../hosts/host-entry.js';
import { testHost } from '../testing/groups.js';
import { LackingGroups } from './lacking-groups.js';
import { replicaGroups } from './replica-groups.js';

function member(id: string, rank: number, group = 'g'): HostEntry {
  return testHost(id, { membership: { group, epoch: 1, rank, state: 'open' } });
}

describe('groups that lack a member', () => {
  let now = 0;
  let hosts: HostEntry[];
  const lacking = (): LackingGroups =>
    new LackingGroups({
      groups: () => replicaGroups(hosts),
      entryOf: id => hosts.find(host => host.id === id),
      now: () => now,
    });

  it('are those that a member has left, for none or for another group', () => {
    for (const left of [testHost('x'), member('x', 0, 'other')]) {
      hosts = [member('h', 0), member('x', 1)];
      const groups = lacking();
      expect([...groups.names]).to.deep.equal([]);
      hosts = [member('h', 0), left];
      now += 200;
      expect([...groups.names]).to.deep.equal(['g']);
    }
  });

  it('are not those of which an entry is missing', () => {
    hosts = [member('h', 0), member('x', 1)];
    const groups = lacking();
    expect([...groups.names]).to.deep.equal([]);
    hosts = [member('h', 0)];
    now += 200;
    expect([...groups.names]).to.deep.equal([]);
  });
});
