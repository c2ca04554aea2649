import { expect } from 'chai';

import type { EngineProfile } from '../configuration/serving-configuration.js';
import type { HostEntry, MembershipState } from '../hosts/host-entry.js';
import { testHost, testKnownState } from '../testing/groups.js';
import { buildFleetView } from './build-fleet-view.js';
import type { FleetDomain, FleetView } from './fleet-view.js';
import type { KnownGroupState } from './known-group-state.js';
import { collectReplicaGroups } from './replica-groups.js';

const PROFILE: EngineProfile = {
  models: [{ name: 'm', size: 2, pace: 1, workShare: 1, loadMs: 1, warmMs: 1 }],
  slots: 1,
  loadsPerSecond: 1,
  loadsAtOnce: 1,
  stagedModelsKept: 1,
};

function member(id: string, rank: number, state: MembershipState): HostEntry {
  return testHost(id, { membership: { group: 'g', epoch: 1, rank, state } });
}

function domainOf(hosts: readonly HostEntry[], change: Partial<KnownGroupState> = {}): FleetDomain {
  const view = buildFleetView(hosts, collectReplicaGroups(hosts), PROFILE, testKnownState(change));
  const [domain] = view.domains;
  if (domain === undefined) {
    throw new Error('no fabric domain');
  }
  return domain;
}

function freeIdsOf(domain: FleetDomain): readonly string[] {
  return domain.free.map(host => host.id);
}

describe('fleet view', () => {
  const open = [member('h', 0, 'open'), member('x', 1, 'ready'), testHost('spare')];

  it('separates free hosts from hosts in groups', () => {
    const domain = domainOf(open);
    expect(freeIdsOf(domain)).to.deep.equal(['spare']);
    expect(domain.groups.map(group => group.dissolvable)).to.deep.equal([true]);
  });

  it('leaves out a group whose head does not answer', () => {
    expect(domainOf(open, { unresponsiveHosts: new Map([['h', 0]]) }).groups).to.deep.equal([]);
  });

  it('does not allow a group with a silent member to be dissolved', () => {
    const silent = new Map([['x', 0]]);
    expect(domainOf(open, { unresponsiveHosts: silent }).groups[0]?.dissolvable).to.equal(false);
  });

  it('reserves the free hosts of a domain while one of its groups is being dissolved', () => {
    const domain = domainOf(open, { dissolving: new Map([['g', 0]]) });
    expect(freeIdsOf(domain)).to.deep.equal([]);
    expect(domain.groups).to.deep.equal([]);
  });

  it('leaves out evacuated failure domains, with their groups and free hosts', () => {
    const other = testHost('other', { failureDomain: 'b', fabricDomain: 'd1' });
    const hosts = [...open, other];
    const viewOf = (...evacuated: string[]): FleetView => {
      const known = testKnownState({ evacuatedDomains: new Set(evacuated) });
      return buildFleetView(hosts, collectReplicaGroups(hosts), PROFILE, known);
    };
    const view = viewOf('a');
    expect(view.domains.flatMap(freeIdsOf)).to.deep.equal(['other']);
    expect(view.evacuated.flatMap(freeIdsOf)).to.deep.equal(['spare']);
    expect(view.evacuated[0]?.groups.map(group => group.name)).to.deep.equal(['g']);
    expect(viewOf('a', 'b').domains, 'all evacuated: as if none were').to.have.length(2);
    expect(viewOf('c').evacuated).to.deep.equal([]);
  });

  it('counts the hosts of a formation as its members, whatever group their entries name', () => {
    const heads = new Map([['g', { host: open[0] as HostEntry, missingSince: 0, left: true }]]);
    const left = [member('x', 1, 'ready'), testHost('spare')];
    expect(freeIdsOf(domainOf(left, { heads }))).to.deep.equal(['x', 'spare']);
    const formation = {
      group: 'n',
      epoch: 2,
      model: 'm',
      members: ['x', 'spare'],
      fabricDomain: 'd0',
      loads: 0,
      deadline: 1,
    };
    const domain = domainOf(left, { heads, formations: new Map([['n', formation]]) });
    expect(freeIdsOf(domain)).to.deep.equal([]);
    expect(domain.groups.map(group => group.name)).to.deep.equal(['n']);
  });
});
