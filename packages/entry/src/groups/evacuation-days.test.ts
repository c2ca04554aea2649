/**
 * Failure domains are evacuated and used again while groups serve: the others serve meanwhile, and the
 * groups of the evacuated one serve at once afterwards.
 */
import { expect } from 'chai';
import fc from 'fast-check';

import { dayProfile, wideFleet } from '../testing/day-fleets.js';
import { FleetModel } from '../testing/fleet-model.js';
import { FREE_LOADS } from './formation-plan.js';

const KINDS = [
  { domainSize: 18, largeSize: 8, smallSize: 2, largeShare: 0.15 },
  { domainSize: 18, largeSize: 8, smallSize: 2, largeShare: 0.4 },
  { domainSize: 19, largeSize: 8, smallSize: 4, largeShare: 0.15 },
  { domainSize: 19, largeSize: 8, smallSize: 4, largeShare: 0.4 },
];
const COLD_MS = 3_000;
const EVACUATION_MS = 8_000;
const SEED = Number(process.env['HINGESCALE_SEED'] ?? 1);

/** Any fleet with three failure domains of one or two fabric domains each. */
const ANY_FLEET = fc.record({
  domainSize: fc.integer({ min: 4, max: 20 }),
  perFailureDomain: fc.integer({ min: 1, max: 2 }),
  largeSize: fc.integer({ min: 2, max: 8 }),
  smallSize: fc.integer({ min: 1, max: 4 }),
  largeShare: fc.double({ min: 0.05, max: 0.95, noNaN: true }),
  losses: fc.array(fc.nat(500), { maxLength: 3 }),
});
type AnyFleet = typeof ANY_FLEET extends fc.Arbitrary<infer T> ? T : never;

function anyFleet({ domainSize, perFailureDomain, ...models }: AnyFleet): FleetModel {
  return new FleetModel({
    domainSizes: Array.from({ length: 3 * perFailureDomain }, () => domainSize),
    domainsPerFailureDomain: perFailureDomain,
    coldMs: COLD_MS,
    profile: dayProfile(models.largeSize, models.smallSize, models.largeShare),
  });
}

function started(fleet: FleetModel): FleetModel {
  fleet.run(6_000, FREE_LOADS);
  fleet.run(6_000);
  return fleet;
}

/** One group of the large model, in a fleet of three failure domains with eight hosts each. */
function fleetWithOneLargeGroup(): FleetModel {
  const domains = { domainSizes: [8, 8, 8], domainsPerFailureDomain: 1 };
  const profile = dayProfile(8, 2, 0.05);
  return started(new FleetModel({ ...domains, coldMs: COLD_MS, profile }));
}

function homeOfLarge(fleet: FleetModel): string {
  const home = ['z0', 'z1', 'z2'].find(name => fleet.groupsIn(name).length === 1);
  if (home === undefined) {
    throw new Error('no failure domain has the large model alone');
  }
  return home;
}

describe('plans over days with evacuations', () => {
  it('bring back a model whose only group stands in the evacuated domain', () => {
    const fleet = fleetWithOneLargeGroup();
    const home = homeOfLarge(fleet);
    expect([fleet.serving('large'), fleet.serving('small')]).to.deep.equal([1, 8]);
    fleet.evacuate(home);
    expect(fleet.serving('large')).to.equal(0);
    fleet.run(45_000);
    expect(fleet.serving('large')).to.equal(1);
    expect(fleet.serving('small')).to.equal(4);
  });

  it('keep the groups of the evacuated domain, which serve at once when it is taken back', () => {
    for (const kind of KINDS) {
      const fleet = started(wideFleet(kind));
      const before = [fleet.serving('large'), fleet.serving('small')];
      const kept = fleet.groupsIn('z2');
      fleet.evacuate('z2');
      expect(fleet.serving('large')).to.be.lessThan(before[0] ?? 0);
      fleet.run(EVACUATION_MS);
      expect(fleet.groupsIn('z2')).to.deep.equal(kept);
      fleet.takeBack('z2');
      expect([fleet.serving('large'), fleet.serving('small')]).to.deep.equal(before);
    }
  });

  it('do not tear the layout of the other domains for an evacuation of 8 s', () => {
    for (const kind of KINDS) {
      const fleet = started(wideFleet(kind));
      fleet.evacuate('z1');
      fleet.run(EVACUATION_MS);
      fleet.takeBack('z1');
      fleet.run(EVACUATION_MS);
      expect(fleet.dissolved.length, JSON.stringify(kind)).to.equal(0);
    }
  });

  it('dissolve nothing in an evacuated domain, and nothing elsewhere while its hosts are cold', () => {
    fc.assert(
      fc.property(ANY_FLEET, given => {
        const fleet = started(anyFleet(given));
        fleet.evacuate('z0');
        const there = fleet.groupsIn('z0');
        fleet.run(EVACUATION_MS);
        given.losses.forEach(loss => {
          fleet.lose(loss);
          fleet.run(2_000);
        });
        fleet.run(COLD_MS);
        expect(fleet.dissolved.filter(name => there.includes(name))).to.deep.equal([]);
        const dissolved = fleet.dissolved.length;
        const allServed = fleet.serving('large') > 0 && fleet.serving('small') > 0;
        fleet.takeBack('z0');
        fleet.run(COLD_MS - 1);
        expect(!allServed || fleet.dissolved.length === dissolved).to.equal(true);
      }),
      { seed: SEED, numRuns: 40 },
    );
  });

  it('form groups anew that break in an evacuated domain, ready for its return', () => {
    for (const kind of KINDS) {
      const fleet = started(wideFleet(kind));
      const before = fleet.groupsIn('z2').length;
      fleet.evacuate('z2');
      fleet.loseIn('z2');
      fleet.arrive(6);
      fleet.run(60_000);
      expect(fleet.groupsIn('z2').length, JSON.stringify(kind)).to.be.at.least(before);
      expect(fleet.mostFree).to.be.lessThan(kind.largeSize);
    }
  });

  it('serve with the last domain while the two others are evacuated', () => {
    const fleet = started(wideFleet(KINDS[0] as (typeof KINDS)[number]));
    fleet.evacuate('z0');
    fleet.evacuate('z1');
    fleet.run(20_000);
    expect(fleet.serving('large')).to.be.at.least(1);
    expect(fleet.serving('small')).to.be.at.least(4);
  });

  it('go on as if nothing were evacuated once every domain is', () => {
    const fleet = fleetWithOneLargeGroup();
    const home = homeOfLarge(fleet);
    ['z0', 'z1', 'z2'].forEach(name => {
      fleet.evacuate(name);
    });
    fleet.loseIn(home);
    fleet.run(90_000);
    expect(fleet.groupsIn(home).length, 'small groups in place of the broken one').to.be.at.least(
      3,
    );
    ['z0', 'z1', 'z2'].forEach(name => {
      fleet.takeBack(name);
    });
    expect(fleet.serving('large')).to.equal(1);
  });
});
