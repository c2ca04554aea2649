/** Simulated runs in which entry hosts restart, join and lose callers while upstream hosts reject requests. */
import { expect } from 'chai';
import fc from 'fast-check';

import type { RetryScenario } from '../testing/retry-simulation.js';
import { simulateRetries } from '../testing/retry-simulation.js';
import type { RetryBounds } from './retry-budget.js';

const BOUNDS: RetryBounds = { ratio: 0.2, slack: 136, windowMs: 10_000 };
/** Most hosts reject their requests from second 18 to 32, after a window and a half without disruptions. */
const REJECTIONS: RetryScenario = {
  seed: 1,
  lengthMs: 40_000,
  entryHosts: 9,
  requestsPerS: 160,
  rejections: [{ fromMs: 18_000, toMs: 32_000, part: 0.6 }],
  restarts: [],
  callerMoves: [],
  joins: [],
};
/** All entry hosts are killed four times within eight seconds. */
const KILLED_IN_SERIES: RetryScenario = {
  ...REJECTIONS,
  restarts: [20_000, 22_500, 25_000, 27_500].map(atMs => ({ atMs, part: 1 })),
};
const KILLED_TWICE: RetryScenario = {
  ...REJECTIONS,
  restarts: [20_000, 23_000].map(atMs => ({ atMs, part: 1 })),
};
/** Part of the bound that is to be usable while nothing restarts. */
const USABLE_PART = 0.6;
/** Number of drawn scenarios; more by hand through the environment. */
const SCENARIOS = Number(process.env.HINGESCALE_RETRY_SCENARIOS ?? 60);
const SEED = Number(process.env.HINGESCALE_RETRY_SEED ?? 7);

const LENGTH_MS = 45_000;
const timeMs = fc.integer({ min: 0, max: LENGTH_MS });
const part = fc.constantFrom(0.2, 0.5, 1);
const event = fc.record({ atMs: timeMs, part });
const rejection = fc
  .record({ fromMs: timeMs, forMs: fc.integer({ min: 500, max: 20_000 }), part })
  .map(({ fromMs, forMs, part: rejected }) => ({ fromMs, toMs: fromMs + forMs, part: rejected }));
const scenarios: fc.Arbitrary<RetryScenario> = fc.record({
  seed: fc.integer(),
  lengthMs: fc.constant(LENGTH_MS),
  entryHosts: fc.oneof(fc.integer({ min: 1, max: 12 }), fc.integer({ min: 12, max: 140 })),
  requestsPerS: fc.constantFrom(20, 160, 400),
  rejections: fc.array(rejection, { minLength: 1, maxLength: 3 }),
  restarts: fc.array(event, { maxLength: 10 }),
  callerMoves: fc.array(event, { maxLength: 3 }),
  joins: fc.array(timeMs, { maxLength: 3 }),
});

// Guards against a process that starts using an allowance that its predecessor has already used.
describe('retries of all entry hosts together', () => {
  it('stay within the bound while nothing restarts, and use most of it', () => {
    const { retries, allowed } = simulateRetries(REJECTIONS, BOUNDS);
    expect(retries).to.be.within(USABLE_PART * allowed, allowed);
  });

  it('stay within the bound when all entry hosts are killed twice', () => {
    const { retries, allowed } = simulateRetries(KILLED_TWICE, BOUNDS);
    expect(retries).to.be.at.most(allowed);
  });

  it('stay within the bound when all entry hosts are killed four times', () => {
    const { retries, allowed } = simulateRetries(KILLED_IN_SERIES, BOUNDS);
    expect(retries).to.be.at.most(allowed);
  });

  it('stay within the bound under drawn restarts, additions and moves of callers', () => {
    const keepsBound = (scenario: RetryScenario): boolean => {
      const { retries, allowed } = simulateRetries(scenario, BOUNDS);
      return retries <= allowed;
    };
    fc.assert(fc.property(scenarios, keepsBound), { numRuns: SCENARIOS, seed: SEED });
  });
});
