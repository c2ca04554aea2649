/** Targets, formations and stagings on small examples, and bounds that hold for all inputs. */
import { expect } from 'chai';
import fc from 'fast-check';

import type { EngineProfile, GroupModel } from '../configuration/serving-configuration.js';
import type { HostEntry } from '../hosts/host-entry.js';
import { planFormations } from './formation-plan.js';
import { groupTargets } from './group-targets.js';
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
  pace: 0.6,
  workShare: 0.5,
  loadMs: 12_000,
  warmMs: 1_100,
};
const PROFILE: EngineProfile = {
  models: [LARGE, SMALL],
  slots: 18,
  loadsPerSecond: 4,
  loadsAtOnce: 6,
};

let nextHost = 0;

function host(staged?: string): HostEntry {
  nextHost += 1;
  return {
    id: `x${nextHost}`,
    service: 'lm',
    ip: '127.0.0.1',
    port: 1,
    failureDomain: 'a',
    accepting: true,
    fabricDomain: 'd0',
    stagedModels: staged === undefined ? [] : [staged],
    loadedModel: undefined,
    membership: undefined,
  };
}

function hosts(count: number, staged?: string): HostEntry[] {
  return Array.from({ length: count }, () => host(staged));
}

describe('group targets', () => {
  it('use the hosts they are given, and leave no model without a group', () => {
    fc.assert(
      fc.property(fc.integer({ min: 0, max: 400 }), fc.double({ min: 0, max: 1 }), (n, share) => {
        if (Number.isNaN(share)) {
          return;
        }
        const models = [
          { ...LARGE, workShare: share },
          { ...SMALL, workShare: 1 - share },
        ];
        const targets = groupTargets({ ...PROFILE, models }, n);
        const large = targets.get('large') ?? 0;
        const small = targets.get('small') ?? 0;
        expect(Math.min(large, small)).to.be.at.least(1);
        expect(large * 4 + small * 2).to.be.at.most(Math.max(n, 0) + 6.001);
      }),
    );
  });
});

describe('formation plan', () => {
  const targets = new Map([
    ['large', 2],
    ['small', 1],
  ]);

  it('forms groups of staged hosts only, once requests have come', () => {
    const domains = [{ fabricDomain: 'd0', hosts: [...hosts(4, 'large'), ...hosts(4)] }];
    const input = { profile: PROFILE, domains, groupCounts: new Map(), targets, loadsLeft: 8 };
    const later = planFormations({ ...input, withLoads: false });
    expect(later.formations.map(formation => formation.model.name)).to.deep.equal(['large']);
    expect(later.formations[0]?.loads).to.equal(0);
    const first = planFormations({ ...input, withLoads: true });
    expect(first.formations.map(formation => formation.model.name)).to.include('small');
  });

  it('never takes a host twice, a group across domains, or more loads than there are', () => {
    const staged = fc.constantFrom(undefined, 'large', 'small');
    const domain = fc.array(staged, { maxLength: 9 });
    fc.assert(
      fc.property(fc.array(domain, { maxLength: 4 }), fc.nat(12), (given, loadsLeft) => {
        const domains = given.map((models, index) => ({
          fabricDomain: `d${index}`,
          hosts: models.map(model => host(model)),
        }));
        const plan = planFormations({
          profile: PROFILE,
          domains,
          groupCounts: new Map(),
          targets: new Map([
            ['large', 3],
            ['small', 3],
          ]),
          withLoads: true,
          loadsLeft,
        });
        const taken = plan.formations.flatMap(formation => formation.hosts);
        expect(new Set(taken).size).to.equal(taken.length);
        for (const formation of plan.formations) {
          const home = domains.find(candidate =>
            candidate.hosts.includes(formation.hosts[0] as never),
          );
          expect(formation.hosts.every(member => home?.hosts.includes(member))).to.equal(true);
          expect(formation.hosts).to.have.length(formation.model.size);
        }
        const loads = plan.formations.reduce((sum, formation) => sum + formation.loads, 0);
        expect(loads).to.be.at.most(loadsLeft);
      }),
    );
  });
});

describe('staging plan', () => {
  const base = {
    profile: PROFILE,
    groupCounts: new Map([
      ['large', 3],
      ['small', 3],
    ]),
    targets: new Map([
      ['large', 6],
      ['small', 6],
    ]),
    stagingNow: () => undefined,
    loadsLeft: 6,
  };

  it('completes a group with one load before it prepares another with two', () => {
    const free = [...hosts(3, 'large'), host()];
    const domains = [{ fabricDomain: 'd0', free, groupCounts: new Map() }];
    const [first] = planStagings({ ...base, domains, loadsLeft: 1 });
    expect(first?.model.name).to.equal('large');
    expect(first?.host.stagedModels).to.deep.equal([]);
  });

  it('keeps a spare for each model that has a group in the domain', () => {
    const groupCounts = new Map([
      ['large', 1],
      ['small', 1],
    ]);
    const domains = [{ fabricDomain: 'd0', free: hosts(2), groupCounts }];
    const full = new Map([
      ['large', 3],
      ['small', 3],
    ]);
    const planned = planStagings({ ...base, targets: full, domains });
    expect(planned.map(staging => staging.model.name).sort()).to.deep.equal(['large', 'small']);
  });

  it('gives up a third spare of one model for the first of another', () => {
    const groupCounts = new Map([
      ['large', 1],
      ['small', 2],
    ]);
    const full = new Map([
      ['large', 3],
      ['small', 3],
    ]);
    for (const [kept, wanted] of [
      ['large', 'small'],
      ['small', 'large'],
    ]) {
      const domains = [{ fabricDomain: 'd0', free: hosts(3, kept), groupCounts }];
      const planned = planStagings({ ...base, targets: full, domains });
      expect(planned[0]?.model.name, `beside three spares of ${kept}`).to.equal(wanted);
      expect(planned.length).to.be.lessThan(3);
    }
  });

  it('leaves spares alone that are worth as much where they are', () => {
    const groupCounts = new Map([
      ['large', 1],
      ['small', 1],
    ]);
    const full = new Map([
      ['large', 3],
      ['small', 3],
    ]);
    const free = [...hosts(1, 'large'), ...hosts(1, 'small')];
    const domains = [{ fabricDomain: 'd0', free, groupCounts }];
    expect(planStagings({ ...base, targets: full, domains })).to.deep.equal([]);
  });

  it('never plans more loads than there are, nor a host twice', () => {
    const staged = fc.constantFrom(undefined, 'large', 'small');
    fc.assert(
      fc.property(fc.array(staged, { maxLength: 12 }), fc.nat(8), (models, loadsLeft) => {
        const free = models.map(model => host(model));
        const domains = [{ fabricDomain: 'd0', free, groupCounts: new Map() }];
        const planned = planStagings({ ...base, domains, loadsLeft });
        expect(planned.length).to.be.at.most(loadsLeft);
        expect(new Set(planned.map(staging => staging.host)).size).to.equal(planned.length);
      }),
    );
  });
});

describe('load budget', () => {
  it('bounds the loads that begin in any window', () => {
    const gaps = fc.array(fc.integer({ min: 0, max: 400 }), { maxLength: 200 });
    fc.assert(
      fc.property(gaps, steps => {
        const budget = new LoadBudget(5_000);
        const begun: number[] = [];
        let now = 0;
        for (const step of steps) {
          now += step;
          const left = budget.left(now, 4, Infinity, 0);
          budget.note(now, left);
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
