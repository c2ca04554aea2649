/**
 * Guards against missing a group whose members were ordered to leave because its head is unreachable, and against
 * reporting groups whose hosts have only lost their connection to the store.
 */
import { expect } from 'chai';

import type { HostEntry } from '../hosts/host-entry.js';
import { testHost } from '../testing/groups.js';
import { AbandonedGroups } from './abandoned-groups.js';
import { collectReplicaGroups } from './replica-groups.js';

function member(id: string, rank: number, group = 'g'): HostEntry {
  return testHost(id, { membership: { group, epoch: 1, rank, state: 'open' } });
}

describe('lacking groups', () => {
  let now = 0;
  let hosts: HostEntry[];
  const lackingGroups = (): AbandonedGroups =>
    new AbandonedGroups({
      groups: () => collectReplicaGroups(hosts),
      entryOf: id => hosts.find(host => host.id === id),
      now: () => now,
    });

  it('include groups that a member has left, for another group or for none', () => {
    for (const left of [testHost('x'), member('x', 0, 'other')]) {
      hosts = [member('h', 0), member('x', 1)];
      const groups = lackingGroups();
      expect([...groups.names]).to.deep.equal([]);
      hosts = [member('h', 0), left];
      now += 200;
      expect([...groups.names]).to.deep.equal(['g']);
    }
  });

  it('do not include groups of which only an entry is missing', () => {
    hosts = [member('h', 0), member('x', 1)];
    const groups = lackingGroups();
    expect([...groups.names]).to.deep.equal([]);
    hosts = [member('h', 0)];
    now += 200;
    expect([...groups.names]).to.deep.equal([]);
  });
});
