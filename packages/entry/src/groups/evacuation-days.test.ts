/**
 * Plans on a simulated fleet whose failure domains are evacuated and returned to use: the other domains continue to
 * serve, and the groups of the evacuated domain serve at once when it is returned to use.
 */
import { expect } from 'chai';
import fc from 'fast-check';

import { FleetModel } from '../testing/fleet-model.js';
import { nineDomainFleet, twoModelProfile } from '../testing/two-model-fleets.js';
import { UNLIMITED_LOADS } from './formation-plan.js';

const WIDE_FLEETS = [
  { domainSize: 18, largeSize: 8, smallSize: 2, largeShare: 0.15 },
  { domainSize: 18, largeSize: 8, smallSize: 2, largeShare: 0.4 },
  { domainSize: 19, largeSize: 8, smallSize: 4, largeShare: 0.15 },
  { domainSize: 19, largeSize: 8, smallSize: 4, largeShare: 0.4 },
];
const COLD_MS = 3_000;
const EVACUATION_MS = 8_000;
const SEED = Number(process.env['HINGESCALE_SEED'] ?? 1);

/** Arbitrary fleets with three failure domains of one or two fabric domains each. */
const FLEET = fc.record({
  domainSize: fc.integer({ min: 4, max: 20 }),
  perFailureDomain: fc.integer({ min: 1, max: 2 }),
  largeSize: fc.integer({ min: 2, max: 8 }),
  smallSize: fc.integer({ min: 1, max: 4 }),
  largeShare: fc.double({ min: 0.05, max: 0.95, noNaN: true }),
  losses: fc.array(fc.nat(500), { maxLength: 3 }),
});
type FleetSample = typeof FLEET extends fc.Arbitrary<infer T> ? T : never;

function fleetOf({ domainSize, perFailureDomain, ...models }: FleetSample): FleetModel {
  return new FleetModel({
    domainSizes: Array.from({ length: 3 * perFailureDomain }, () => domainSize),
    domainsPerFailureDomain: perFailureDomain,
    coldMs: COLD_MS,
    profile: twoModelProfile(models.largeSize, models.smallSize, models.largeShare),
  });
}

function startFleet(fleet: FleetModel): FleetModel {
  fleet.run(6_000, UNLIMITED_LOADS);
  fleet.run(6_000);
  return fleet;
}

/** A fleet of three failure domains with eight hosts each that forms a single group of the large model. */
function fleetWithOneLargeGroup(): FleetModel {
  const domains = { domainSizes: [8, 8, 8], domainsPerFailureDomain: 1 };
  const profile = twoModelProfile(8, 2, 0.05);
  return startFleet(new FleetModel({ ...domains, coldMs: COLD_MS, profile }));
}

function domainOfLarge(fleet: FleetModel): string {
  const largeDomain = ['z0', 'z1', 'z2'].find(name => fleet.groupsIn(name).length === 1);
  if (largeDomain === undefined) {
    throw new Error('no failure domain has exactly one group, that of the large model');
  }
  return largeDomain;
}

describe('plans with evacuated failure domains over simulated days', () => {
  it('form a group elsewhere for a model whose only group is in the evacuated domain', () => {
    const fleet = fleetWithOneLargeGroup();
    const largeDomain = domainOfLarge(fleet);
    expect([fleet.serving('large'), fleet.serving('small')]).to.deep.equal([1, 8]);
    fleet.evacuate(largeDomain);
    expect(fleet.serving('large')).to.equal(0);
    fleet.run(45_000);
    expect(fleet.serving('large')).to.equal(1);
    expect(fleet.serving('small')).to.equal(4);
  });

  it('keep the groups of the evacuated domain, so that they serve at once when it returns', () => {
    for (const kind of WIDE_FLEETS) {
      const fleet = startFleet(nineDomainFleet(kind));
      const before = [fleet.serving('large'), fleet.serving('small')];
      const kept = fleet.groupsIn('z2');
      fleet.evacuate('z2');
      expect(fleet.serving('large')).to.be.lessThan(before[0] ?? 0);
      fleet.run(EVACUATION_MS);
      expect(fleet.groupsIn('z2')).to.deep.equal(kept);
      fleet.endEvacuation('z2');
      expect([fleet.serving('large'), fleet.serving('small')]).to.deep.equal(before);
    }
  });

  it('do not dissolve groups of the other domains during an evacuation of 8 s', () => {
    for (const kind of WIDE_FLEETS) {
      const fleet = startFleet(nineDomainFleet(kind));
      fleet.evacuate('z1');
      fleet.run(EVACUATION_MS);
      fleet.endEvacuation('z1');
      fleet.run(EVACUATION_MS);
      expect(fleet.dissolved.length, JSON.stringify(kind)).to.equal(0);
    }
  });

  it('dissolve no group in an evacuated domain, and none elsewhere while its hosts are cold', () => {
    fc.assert(
      fc.property(FLEET, sample => {
        const fleet = startFleet(fleetOf(sample));
        fleet.evacuate('z0');
        const evacuatedGroups = fleet.groupsIn('z0');
        fleet.run(EVACUATION_MS);
        sample.losses.forEach(loss => {
          fleet.removeHost(loss);
          fleet.run(2_000);
        });
        fleet.run(COLD_MS);
        expect(fleet.dissolved.filter(name => evacuatedGroups.includes(name))).to.deep.equal([]);
        const dissolvedCount = fleet.dissolved.length;
        const allServed = fleet.serving('large') > 0 && fleet.serving('small') > 0;
        fleet.endEvacuation('z0');
        fleet.run(COLD_MS - 1);
        expect(!allServed || fleet.dissolved.length === dissolvedCount).to.equal(true);
      }),
      { seed: SEED, numRuns: 40 },
    );
  });

  it('form new groups in an evacuated domain after one of its groups has broken', () => {
    for (const kind of WIDE_FLEETS) {
      const fleet = startFleet(nineDomainFleet(kind));
      const before = fleet.groupsIn('z2').length;
      fleet.evacuate('z2');
      fleet.removeHostIn('z2');
      fleet.addHost(6);
      fleet.run(60_000);
      expect(fleet.groupsIn('z2').length, JSON.stringify(kind)).to.be.at.least(before);
      expect(fleet.maxFreeHosts).to.be.lessThan(kind.largeSize);
    }
  });

  it('serve both models in the last domain while the two others are evacuated', () => {
    const fleet = startFleet(nineDomainFleet(WIDE_FLEETS[0] as (typeof WIDE_FLEETS)[number]));
    fleet.evacuate('z0');
    fleet.evacuate('z1');
    fleet.run(20_000);
    expect(fleet.serving('large')).to.be.at.least(1);
    expect(fleet.serving('small')).to.be.at.least(4);
  });

  it('continue as if no domain were evacuated when all of them are', () => {
    const fleet = fleetWithOneLargeGroup();
    const largeDomain = domainOfLarge(fleet);
    ['z0', 'z1', 'z2'].forEach(name => {
      fleet.evacuate(name);
    });
    fleet.removeHostIn(largeDomain);
    fleet.run(90_000);
    expect(
      fleet.groupsIn(largeDomain).length,
      'small groups in place of the broken one',
    ).to.be.at.least(3);
    ['z0', 'z1', 'z2'].forEach(name => {
      fleet.endEvacuation(name);
    });
    expect(fleet.serving('large')).to.equal(1);
  });
});
