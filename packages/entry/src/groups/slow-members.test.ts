/** Guards against groups that stay slow because a single member is several times slower for some 10 s. */
import { expect } from 'chai';

import type { EngineProfile, GroupModel } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import { testHost } from '../testing/groups.js';
import type { FleetDomain, FleetView, PlacedGroup } from './fleet-view.js';
import { NO_LOADS, planFormations } from './formation-plan.js';
import { planSlowMemberReplacements } from './slow-members.js';

const MODEL: GroupModel = {
  name: 'm',
  size: 3,
  pace: 1,
  workShare: 1,
  loadMs: 12_000,
  warmMs: 1_000,
};
const PROFILE: EngineProfile = {
  models: [MODEL],
  slots: 18,
  loadsPerSecond: 4,
  loadsAtOnce: 6,
  stagedModelsKept: 1,
};

function ready(...ids: string[]): HostEntry[] {
  return ids.map(id => testHost(id, { stagedModels: ['m'] }));
}

function group(name: string, ...ids: string[]): PlacedGroup {
  return { name, model: 'm', members: ready(...ids), dissolvable: true };
}

function fleet(slow: string[], groups: PlacedGroup[], free: HostEntry[]): FleetView {
  const domain: FleetDomain = { fabricDomain: 'd0', failureDomain: 'a', groups, free };
  return {
    profile: PROFILE,
    domains: [domain],
    evacuated: [],
    isReturning: false,
    lapsedDomains: new Set(),
    stagingModelOf: () => undefined,
    slowHosts: new Set(slow),
  };
}

function dissolved(view: FleetView): readonly string[] {
  return planSlowMemberReplacements(view).map(({ name }) => name);
}

describe('slow members', () => {
  const groups = [group('g1', 'a', 'b', 'c'), group('g2', 'd', 'e', 'f')];

  it('are replaced if a free host is ready for the model', () => {
    expect(dissolved(fleet(['b'], groups, ready('x')))).to.deep.equal(['g1']);
  });

  it('stay if no other host is ready, since a slow group serves more than none', () => {
    expect(dissolved(fleet(['b'], groups, []))).to.deep.equal([]);
    expect(dissolved(fleet(['b', 'x'], groups, ready('x')))).to.deep.equal([]);
    const blank = [testHost('x', { loadedModel: undefined, lastModel: undefined })];
    expect(dissolved(fleet(['b'], groups, blank))).to.deep.equal([]);
  });

  it('of two groups are not replaced by the same host', () => {
    expect(dissolved(fleet(['b', 'd'], groups, ready('x')))).to.deep.equal(['g1']);
    expect(dissolved(fleet(['b', 'd'], groups, ready('x', 'y')))).to.deep.equal(['g1', 'g2']);
  });

  it('are chosen last for a new group', () => {
    const [formation] = planFormations(fleet(['a'], [], ready('a', 'b', 'c', 'd')), NO_LOADS);
    expect(formation?.hosts.map(({ id }) => id)).to.have.members(['b', 'c', 'd']);
  });
});
