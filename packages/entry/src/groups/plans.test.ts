/** Checks formation, dissolution and staging plans on small examples, and their bounds on random inputs. */
import { expect } from 'chai';
import fc from 'fast-check';

import type { EngineProfile, GroupModel } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import { testHost } from '../testing/groups.js';
import { CapacityValue } from './capacity-value.js';
import { planDissolution } from './dissolution-plan.js';
import { planEvacuatedFormations, planEvacuatedStagings } from './evacuated-domain-plan.js';
import type { FleetDomain, FleetView, PlacedGroup } from './fleet-view.js';
import { maxUsableHosts } from './fleet-view.js';
import { NO_LOADS, planFormations, UNLIMITED_LOADS } from './formation-plan.js';
import { LoadBudget } from './load-budget.js';
import { planStagings } from './staging-plan.js';

const LARGE: GroupModel = {
  name: 'large',
  size: 4,
  pace: 1,
  workShare: 0.5,
  loadMs: 16_000,
  warmMs: 1_600,
};
const SMALL: GroupModel = {
  name: 'small',
  size: 2,
  pace: 1,
  workShare: 0.5,
  loadMs: 12_000,
  warmMs: 1_100,
};
const PROFILE: EngineProfile = {
  models: [LARGE, SMALL],
  slots: 18,
  loadsPerSecond: 4,
  loadsAtOnce: 6,
  stagedModelsKept: 1,
};

let createdCount = 0;

function host(staged?: string, loaded?: string): HostEntry {
  createdCount += 1;
  const stagedModels = staged === undefined ? [] : [staged];
  return testHost(`x${createdCount}`, { stagedModels, loadedModel: loaded, lastModel: loaded });
}

function hosts(count: number, staged?: string, loaded?: string): HostEntry[] {
  return Array.from({ length: count }, () => host(staged, loaded));
}

function group(model: GroupModel, staged = model.name): PlacedGroup {
  createdCount += 1;
  const members = hosts(model.size, staged, model.name);
  return { name: `g${createdCount}`, model: model.name, members, dissolvable: true };
}

function domain(name: string, free: HostEntry[], groups: PlacedGroup[] = []): FleetDomain {
  return { fabricDomain: name, failureDomain: 'a', free, groups };
}

function fleet(...domains: FleetDomain[]): FleetView {
  return {
    profile: PROFILE,
    domains,
    evacuated: [],
    isReturning: false,
    lapsedDomains: new Set(),
    stagingModelOf: () => undefined,
    slowHosts: new Set(),
  };
}

function modelsOf(planned: readonly { readonly model: GroupModel }[]): readonly string[] {
  return planned.map(({ model }) => model.name);
}

describe('capacity value', () => {
  it('assigns the largest gain to the first group and less to each further one', () => {
    const value = new CapacityValue(PROFILE.models, 1);
    let before = Infinity;
    for (let count = 0; count < 20; count++) {
      const gain = value.gain('large', 'a');
      expect(gain).to.be.greaterThan(0).and.to.be.lessThan(before);
      before = gain;
      value.add('large', 'a', 1);
      expect(value.loss('large', 'a')).to.be.closeTo(gain, 1e-9);
    }
  });

  it('assigns a larger gain to a failure domain without a group', () => {
    const value = new CapacityValue(PROFILE.models, 2);
    value.add('large', 'a', 2);
    expect(value.gain('large', 'b')).to.be.greaterThan(value.gain('large', 'a'));
  });
});

describe('usable hosts', () => {
  it('are the largest sum of group sizes that fits', () => {
    expect(maxUsableHosts(7, [4, 2])).to.equal(6);
    expect(maxUsableHosts(8, [5, 3])).to.equal(8);
    expect(maxUsableHosts(3, [4])).to.equal(0);
  });
});

describe('formation plan', () => {
  it('forms groups of staged hosts only when loads are limited', () => {
    const view = fleet(domain('d0', [...hosts(4, 'large'), ...hosts(4)]));
    const later = planFormations(view, NO_LOADS);
    expect(modelsOf(later)).to.deep.equal(['large']);
    expect(later[0]?.loads).to.equal(0);
    expect(modelsOf(planFormations(view, UNLIMITED_LOADS))).to.include('small');
  });

  it('leaves room for a large model without a group', () => {
    const models = [
      { ...LARGE, size: 8, workShare: 0.05 },
      { ...SMALL, workShare: 0.95 },
    ];
    const view = { ...fleet(domain('d0', hosts(8)), domain('d1', hosts(8))) };
    const planned = planFormations({ ...view, profile: { ...PROFILE, models } }, UNLIMITED_LOADS);
    expect(modelsOf(planned)).to.include.members(['large', 'small']);
  });

  it('makes the host that becomes warm first the head, whatever its selection cost', () => {
    const cold = (left: number, change: HostEntry): HostEntry => ({ ...change, coldLeftMs: left });
    const chosen = [
      cold(2_000, host('small')),
      cold(900, host('small')),
      cold(3_000, host('large')),
      cold(0, host('large', 'small')),
    ];
    const free = [...chosen, ...hosts(1, 'large').map(one => cold(0, one))];
    for (const planned of planFormations(fleet(domain('d0', free)), UNLIMITED_LOADS)) {
      const left = planned.hosts.map(member => member.coldLeftMs);
      expect(left[0]).to.equal(Math.min(...left));
    }
    const warm = hosts(4, 'large');
    const [formation] = planFormations(fleet(domain('d0', warm)), NO_LOADS);
    expect(formation?.hosts).to.deep.equal(warm);
  });

  it('never uses a host twice, and never forms a group across domains', () => {
    const staged = fc.constantFrom(undefined, 'large', 'small');
    const anyDomain = fc.array(staged, { maxLength: 9 });
    fc.assert(
      fc.property(fc.array(anyDomain, { maxLength: 4 }), stagedByDomain => {
        const domains = stagedByDomain.map((models, index) =>
          domain(
            `d${index}`,
            models.map(model => host(model)),
          ),
        );
        const planned = planFormations(fleet(...domains), UNLIMITED_LOADS);
        const taken = planned.flatMap(formation => formation.hosts);
        expect(new Set(taken).size).to.equal(taken.length);
        for (const formation of planned) {
          const home = domains.find(one => one.fabricDomain === formation.fabricDomain);
          expect(formation.hosts.every(member => home?.free.includes(member))).to.equal(true);
          expect(formation.hosts).to.have.length(formation.model.size);
        }
      }),
    );
  });

  it('keeps loaded hosts for a group with a larger gain that needs one more load', () => {
    const loaded = hosts(3, 'small', 'large');
    const manySmall = Array.from({ length: 8 }, () => group(SMALL));
    const fewLarge = fleet(domain('d0', loaded), domain('d1', [], [group(LARGE), ...manySmall]));
    expect(planFormations(fewLarge, NO_LOADS)).to.deep.equal([]);
    const manyLarge = Array.from({ length: 8 }, () => group(LARGE));
    const fewSmall = fleet(domain('d0', loaded), domain('d1', [], [group(SMALL), ...manyLarge]));
    expect(modelsOf(planFormations(fewSmall, NO_LOADS))).to.deep.equal(['small']);
  });

  it('prefers hosts that are ready for no other model', () => {
    const versatile = host('large', 'small');
    const view = fleet(domain('d0', [versatile, ...hosts(2, 'small', 'small')]));
    expect(planFormations(view, NO_LOADS)[0]?.hosts).to.not.include(versatile);
  });
});

describe('dissolution plan', () => {
  it('dissolves a group whose hosts complete one that is needed more', () => {
    const ready = group(SMALL, 'large');
    const others = [group(SMALL), group(SMALL), group(SMALL)];
    const view = fleet(domain('d0', hosts(3, 'large', 'large'), [ready]), domain('d1', [], others));
    const planned = planDissolution(view);
    expect(planned?.groups).to.deep.equal([ready]);
  });

  it('does not dissolve groups whose hosts would have to load first', () => {
    const others = [group(SMALL), group(SMALL), group(SMALL), group(SMALL)];
    const view = fleet(domain('d0', hosts(3, 'large', 'large'), others));
    expect(planDissolution(view)).to.equal(undefined);
  });

  it('dissolves nothing in a balanced fleet', () => {
    const groups = [group(LARGE, 'small'), group(SMALL, 'large')];
    expect(planDissolution(fleet(domain('d0', hosts(1), groups)))).to.equal(undefined);
  });
});

describe('plans with an evacuated failure domain', () => {
  const inOtherFailureDomain = (free: HostEntry[], groups: PlacedGroup[] = []): FleetDomain => ({
    ...domain('d9', free, groups),
    failureDomain: 'z',
  });

  it('do not count its groups', () => {
    const manyLarge = Array.from({ length: 8 }, () => group(LARGE));
    const view = fleet(domain('d0', hosts(3, 'small', 'large'), [group(LARGE), group(SMALL)]));
    const withEvacuated = { ...view, evacuated: [inOtherFailureDomain([], manyLarge)] };
    expect(planFormations(withEvacuated, UNLIMITED_LOADS)).to.deep.equal(
      planFormations(view, UNLIMITED_LOADS),
    );
    expect(planStagings(withEvacuated, 6)).to.deep.equal(planStagings(view, 6));
  });

  it('dissolve none of its groups, even if their hosts are needed elsewhere', () => {
    const ready = group(SMALL, 'large');
    const others = [group(SMALL), group(SMALL), group(SMALL)];
    const evacuated = inOtherFailureDomain(hosts(3, 'large', 'large'), [ready]);
    const view = { ...fleet(domain('d1', [], others)), evacuated: [evacuated] };
    expect(planDissolution(view)).to.equal(undefined);
  });

  it('form groups of its free hosts without using hosts of other domains', () => {
    const evacuated = inOtherFailureDomain(hosts(4, 'large', 'large'));
    const view = { ...fleet(domain('d0', hosts(3), [group(SMALL)])), evacuated: [evacuated] };
    const planned = planEvacuatedFormations(view, NO_LOADS);
    expect(modelsOf(planned)).to.deep.equal(['large']);
    expect(planned[0]?.hosts.every(member => evacuated.free.includes(member))).to.equal(true);
  });

  it('leave at least half of the remaining loads to the domains in use', () => {
    const view = { ...fleet(domain('d0', [])), evacuated: [inOtherFailureDomain(hosts(16))] };
    expect(planEvacuatedStagings(view, 1)).to.deep.equal([]);
    expect(planEvacuatedStagings(view, 6)).to.have.length(3);
  });

  it('stage in it only what completes a group', () => {
    const evacuated = inOtherFailureDomain(hosts(1), [group(LARGE), group(SMALL)]);
    expect(
      planEvacuatedStagings({ ...fleet(domain('d0', [])), evacuated: [evacuated] }, 6),
    ).to.deep.equal([]);
  });

  it('dissolve groups while a domain returns only for a model without a group', () => {
    const ready = group(SMALL, 'large');
    const others = [group(SMALL), group(SMALL), group(SMALL)];
    const lacking = domain('d0', hosts(3, 'large', 'large'), [ready]);
    const unserved = { ...fleet(lacking, domain('d1', [], others)), isReturning: true };
    expect(planDissolution(unserved)?.groups).to.deep.equal([ready]);
    const served = fleet(lacking, domain('d1', [], [...others, group(SMALL), group(LARGE)]));
    expect(planDissolution(served)?.groups).to.deep.equal([ready]);
    expect(planDissolution({ ...served, isReturning: true })).to.equal(undefined);
  });

  it('never mix its hosts with those of domains in use', () => {
    const staged = fc.array(fc.constantFrom(undefined, 'large', 'small'), { maxLength: 12 });
    fc.assert(
      fc.property(staged, staged, (inUse, evacuated) => {
        const used = domain(
          'd0',
          inUse.map(model => host(model)),
        );
        const left = inOtherFailureDomain(evacuated.map(model => host(model)));
        const view = { ...fleet(used), evacuated: [left] };
        const formed = planFormations(view, UNLIMITED_LOADS).flatMap(formation => formation.hosts);
        const staging = planStagings(view, 6).map(planned => planned.host);
        expect([...formed, ...staging].every(one => used.free.includes(one))).to.equal(true);
        const evacuatedFormed = planEvacuatedFormations(view, UNLIMITED_LOADS).flatMap(
          ({ hosts: of }) => of,
        );
        const evacuatedStaging = planEvacuatedStagings(view, 6).map(planned => planned.host);
        expect(
          [...evacuatedFormed, ...evacuatedStaging].every(one => left.free.includes(one)),
        ).to.equal(true);
      }),
    );
  });
});

describe('staging plan', () => {
  it('prefers completing a group with one load to preparing another with two', () => {
    const groups = [group(LARGE), group(SMALL), group(SMALL)];
    const view = fleet(domain('d0', [...hosts(3, 'large'), host()], groups));
    const [first] = planStagings(view, 1);
    expect(first?.model.name).to.equal('large');
    expect(first?.host.stagedModels).to.deep.equal([]);
  });

  it('stages hosts one after the other if a group needs more loads than are left', () => {
    let free = hosts(4);
    for (let staged = 0; staged < LARGE.size; staged++) {
      const view = fleet(domain('d0', free, [group(SMALL), group(SMALL)]));
      const [next] = planStagings(view, 1);
      expect(next?.model.name).to.equal('large');
      free = free.map(one => (one === next?.host ? host('large') : one));
    }
  });

  it('stages a replacement on a free host for the groups of its domain', () => {
    const view = fleet(domain('d0', hosts(1), [group(LARGE), group(SMALL)]));
    const planned = planStagings(view, 6);
    expect(planned[0]?.host).to.equal(view.domains[0]?.free[0]);
  });

  it('lets a serving host stage a model that it may have to serve after a loss', () => {
    const view = fleet(domain('d0', [], [group(LARGE), group(SMALL), group(SMALL), group(SMALL)]));
    const [first] = planStagings(view, 1);
    expect(first?.model.name).to.equal('large');
    expect(first?.host.loadedModel).to.equal('small');
  });

  it('stages on two of three stranded hosts a model that two hosts can serve', () => {
    const view = fleet(domain('d0', hosts(3, 'large', 'large'), [group(LARGE)]));
    const planned = planStagings(view, 2);
    expect(modelsOf(planned)).to.deep.equal(['small', 'small']);
  });

  it('evicts no copies while the entries of their domain are returning', () => {
    const back = hosts(2, 'large', 'large');
    const empty = host();
    const view = fleet(domain('d0', [...back, empty]), domain('d1', [], [group(LARGE)]));
    const planned = planStagings(view, 6).map(({ host: one }) => one);
    expect(planned, 'copies are evicted otherwise').to.include.members(back);
    const lapsed = new Set(['d0']);
    const loads = planStagings({ ...view, lapsedDomains: lapsed }, 6).map(({ host: one }) => one);
    expect(loads.filter(one => back.includes(one))).to.deep.equal([]);
  });

  it('evicts no copy from a group that a running load completes', () => {
    const staging = host();
    const evictedCopies = (copies: number): number => {
      const staged = hosts(copies, 'large');
      const view = fleet(domain('d0', [...staged, staging]), domain('d1', [], [group(SMALL)]));
      const stagingNow = (id: string): string | undefined =>
        id === staging.id ? 'large' : undefined;
      const planned = planStagings({ ...view, stagingModelOf: stagingNow }, 6);
      return planned.filter(({ host: one }) => staged.includes(one)).length;
    };
    expect(evictedCopies(LARGE.size - 1)).to.equal(0);
    expect(evictedCopies(LARGE.size - 2), 'the copies do not suffice for a group').to.be.at.least(
      1,
    );
  });

  it('does not evict the only copy on a host without a loaded model', () => {
    const view = fleet(domain('d0', hosts(1, 'small'), [group(LARGE), group(SMALL)]));
    expect(planStagings(view, 6).map(staging => staging.host)).to.not.include(
      view.domains[0]?.free[0],
    );
  });

  it('never plans more loads than are left or a host twice, and terminates', () => {
    const staged = fc.constantFrom(undefined, 'large', 'small');
    const left = fc.oneof(fc.nat(8), fc.constant(Infinity));
    fc.assert(
      fc.property(fc.array(staged, { maxLength: 12 }), left, (models, loadsLeft) => {
        const free = models.map(model => host(model));
        const planned = planStagings(fleet(domain('d0', free)), loadsLeft);
        expect(planned.length).to.be.at.most(loadsLeft);
        expect(new Set(planned.map(staging => staging.host)).size).to.equal(planned.length);
      }),
    );
  });
});

describe('load budget', () => {
  it('limits the loads that begin in any window', () => {
    const gaps = fc.array(fc.integer({ min: 0, max: 400 }), { maxLength: 200 });
    fc.assert(
      fc.property(gaps, steps => {
        const budget = new LoadBudget(5_000);
        const begun: number[] = [];
        let now = 0;
        for (const step of steps) {
          now += step;
          const left = budget.availableLoads(now, 4, Infinity, 0);
          budget.recordLoads(now, left);
          begun.push(...Array.from({ length: left }, () => now));
        }
        for (const start of begun) {
          const inWindow = begun.filter(at => at >= start && at <= start + 5_000).length;
          expect(inWindow).to.be.at.most(20);
        }
      }),
      { numRuns: 200 },
    );
  });
});
