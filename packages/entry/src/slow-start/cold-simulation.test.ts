import { expect } from 'chai';
import fc from 'fast-check';

import type { RateLimit } from '../rate-limits/rate-share.js';
import { TOLERATED_LAG } from '../rate-limits/rate-share.js';
import type { ColdHostScenario, RateDivision } from '../testing/cold-host-scenarios.js';
import {
  divisionByOwners,
  EQUAL_SHARES,
  fixedOwners,
  SCENARIO_MS,
  simulateColdHosts,
} from '../testing/cold-host-scenarios.js';

const limitOf = (perWindow: number, mostPerWindow: number): RateLimit => ({
  windowMs: 1_000,
  perWindow,
  mostPerWindow,
});
const TYPICAL: RateLimit = limitOf(14, 26);
/** A simulated minute without joins, restarts or other faults. */
const FAULTLESS: ColdHostScenario = {
  members: 90,
  coldHosts: 3,
  joins: [],
  lagMs: 0,
  cutOff: 0,
  restarts: [],
  demand: 'pressing',
};

const timeMs = fc.integer({ min: 0, max: SCENARIO_MS });
const restart = fc.record({ atMs: timeMs, part: fc.double({ min: 0.01, max: 1, noNaN: true }) });
// The second variant: all processes restart together, and again right after their start, as after a power failure.
const restarts = fc.oneof(
  fc.array(restart, { maxLength: 6 }),
  fc
    .array(fc.integer({ min: 20_000, max: 22_500 }), { minLength: 2, maxLength: 6 })
    .map(restartTimes => restartTimes.map(atMs => ({ atMs, part: 1 }))),
);

function days(maxJoins: number): fc.Arbitrary<ColdHostScenario> {
  return fc.record({
    members: fc.oneof(fc.integer({ min: 5, max: 30 }), fc.integer({ min: 5, max: 300 })),
    coldHosts: fc.integer({ min: 1, max: 4 }),
    joins: fc.array(timeMs, { maxLength: maxJoins }),
    lagMs: fc.integer({ min: 0, max: 20_000 }),
    cutOff: fc.constantFrom(0, 0.1, 0.5, 0.9),
    restarts,
    demand: fc.constantFrom('pressing', 'bursts'),
  });
}

function isWithin(limit: RateLimit, way: RateDivision): (day: ColdHostScenario) => boolean {
  return day => simulateColdHosts(day, limit, way).maxPerSecond <= limit.mostPerWindow;
}

/**
 * True when a way of dividing the rate exceeds the bound in some simulated minute, among as many as the product's own
 * way has to pass.
 */
function exceedsBound(way: RateDivision): boolean {
  return fc.check(fc.property(days(TOLERATED_LAG), isWithin(TYPICAL, way)), { numRuns: 60 }).failed;
}

describe('cold hosts over a minute', () => {
  it('never receive more than their bound in any second, despite lag, restarts and cut-off entry hosts', () => {
    fc.assert(fc.property(days(TOLERATED_LAG), isWithin(TYPICAL, divisionByOwners())), {
      numRuns: 60,
    });
  });

  it('never exceed other bounds either', () => {
    const limits = fc.constantFrom(
      limitOf(3, 3),
      limitOf(2, 3),
      limitOf(40, 65),
      limitOf(14, 14),
      limitOf(0.5, 5),
    );
    const limitAndDay = fc.tuple(limits, days(2));
    fc.assert(
      fc.property(limitAndDay, ([limit, day]) => isWithin(limit, divisionByOwners())(day)),
      { numRuns: 60 },
    );
  });

  for (const members of [5, 6, 9, 13, 30, 90, 300]) {
    it(`receive most of their rate from ${members} entry hosts that agree and have enough to send`, () => {
      const { minRate } = simulateColdHosts({ ...FAULTLESS, members }, TYPICAL, divisionByOwners());
      // Less than the rate, since the first interval and `MEMBERS_SETTLE_MS` are part of the minute.
      expect(minRate).to.be.at.least(0.8 * 14 * ((SCENARIO_MS - 3_000) / SCENARIO_MS));
    });
  }

  it('would receive too much if an allowance were full at the start of a process', () => {
    expect(exceedsBound(divisionByOwners(true))).to.equal(true);
  });

  it('would receive too much if each entry host had an equal share: all may send at the same moment', () => {
    expect(exceedsBound(EQUAL_SHARES)).to.equal(true);
    const { maxPerSecond } = simulateColdHosts(
      { ...FAULTLESS, demand: 'bursts' },
      TYPICAL,
      EQUAL_SHARES,
    );
    expect(maxPerSecond).to.equal(90);
  });

  it('receive no more than the bound from three owners, while at most three members are not known', () => {
    const way = fixedOwners(3, 4);
    const joins = Array.from({ length: 3 }, (_, index) => index);
    fc.assert(
      fc.property(days(3), day => isWithin(TYPICAL, way)({ ...day, restarts: [] })),
      { numRuns: 60 },
    );
    expect(simulateColdHosts({ ...FAULTLESS, joins }, TYPICAL, way).minRate).to.be.within(10, 12);
  });
});
