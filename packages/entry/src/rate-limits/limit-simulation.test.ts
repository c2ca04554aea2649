/** Simulated minutes of many entry hosts that send to one host with changing rate limits. */
import { expect } from 'chai';
import fc from 'fast-check';

import type { LimitScenario, LimitVariant } from '../testing/limit-scenario.js';
import { SCENARIO_MS, simulateLimits } from '../testing/limit-simulation.js';

/** A limit for 32 seconds, with steady requests and without disruptions. */
const CALM: LimitScenario = {
  seed: 1,
  members: 8,
  demandPerS: 4,
  busyPart: 1,
  inBursts: false,
  limits: [
    { atMs: 8_000, perSecond: 1.5 },
    { atMs: 40_000, perSecond: Infinity },
  ],
  troubles: [],
  joins: [],
};

/** One interval of an owner among few, an answer, reports to all, and the spread of the return, in milliseconds. */
const MAX_RETURN_MS = 7_500;
/** Number of random scenarios for each variant. */
const SCENARIOS = 150;
const SEED = 7;

const timeMs = fc.integer({ min: 0, max: SCENARIO_MS });
const limitStep = fc.record({
  atMs: timeMs,
  perSecond: fc.constantFrom(0, 0.1, 0.4, 1, 1.5, 3, 10, 40, Infinity),
});
const trouble = fc.record({
  kind: fc.constantFrom('restart', 'suspension', 'cut'),
  atMs: timeMs,
  forMs: fc.integer({ min: 100, max: 20_000 }),
  part: fc.constantFrom(0.05, 0.3, 0.6, 1),
});
const scenarios: fc.Arbitrary<LimitScenario> = fc.record({
  seed: fc.integer(),
  members: fc.oneof(fc.integer({ min: 1, max: 12 }), fc.integer({ min: 12, max: 120 })),
  demandPerS: fc.constantFrom(0.3, 3, 20),
  busyPart: fc.constantFrom(0.2, 1),
  inBursts: fc.boolean(),
  limits: fc
    .array(limitStep, { minLength: 1, maxLength: 6 })
    .map(steps => [...steps].sort((a, b) => a.atMs - b.atMs)),
  troubles: fc.array(trouble, { maxLength: 4 }),
  joins: fc.array(timeMs, { maxLength: 2 }),
});

function keepsBound(way: LimitVariant): (scenario: LimitScenario) => boolean {
  return scenario => simulateLimits(scenario, way).excess <= 0;
}

/** True if a variant exceeds the bound in any of as many scenarios as the product's mechanism has to pass. */
function exceedsBound(way: LimitVariant): boolean {
  const options = { numRuns: SCENARIOS, endOnFailure: true, seed: SEED };
  return fc.check(fc.property(scenarios, keepsBound(way)), options).failed;
}

describe('a host with changing rate limits, over a simulated minute', () => {
  it('receives no more than the bound from entry hosts that know the limit, under any disruptions', () => {
    fc.assert(fc.property(scenarios, keepsBound('as-built')), { numRuns: SCENARIOS, seed: SEED });
  });

  // The first answers arrive after a delay, and the first paced sends after one window.
  for (const members of [3, 8, 30, 90]) {
    it(`receives most of its limit from ${members} entry hosts that have enough requests`, () => {
      expect(simulateLimits({ ...CALM, members }).usedPart).to.be.at.least(0.7);
    });
  }

  it('receives part of its limit if only some entry hosts have requests', () => {
    expect(simulateLimits({ ...CALM, busyPart: 0.5 }).usedPart).to.be.at.least(0.3);
  });

  it('is used without a limit by all entry hosts soon after an answer without a limit', () => {
    const result = simulateLimits({ ...CALM, members: 30 });
    expect(result.longestReturnMs).to.be.at.most(MAX_RETURN_MS);
  });

  it('is used again after all owners of a share of its limit are suspended for good', () => {
    const troubles = [{ kind: 'suspension', atMs: 12_000, forMs: SCENARIO_MS, part: 0.5 }] as const;
    const limits = [{ atMs: 8_000, perSecond: 0.2 }];
    const scenario = { ...CALM, members: 6, limits, troubles };
    expect(simulateLimits(scenario).usedPart).to.be.at.least(0.3);
  });

  const variants = ['equal-parts', 'no-reports', 'any-answer-ends-it'] as const;
  for (const way of variants) {
    it(`would receive more than the bound with the variant ${way}`, () => {
      expect(exceedsBound(way)).to.equal(true);
    });
  }
});
