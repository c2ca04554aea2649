/** Which requests are quarantined when hosts end, in random simulations with and without crashing requests. */
import { expect } from 'chai';
import fc from 'fast-check';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import type { CrashScenario } from '../testing/crash-simulation.js';
import { simulateCrashes } from '../testing/crash-simulation.js';
import { CrashEvidence } from './crash-evidence.js';
import type { CrashReport } from './run-report.js';

/** The base of each simulation: no losses except of single hosts. */
const BASE_SCENARIO: CrashScenario = {
  hosts: 16,
  requestsPerS: 40,
  crashing: 0,
  alikePart: 0.05,
  rackLosses: [],
  powerLosses: [],
  cuts: [],
  lossEveryMs: 5_000,
};
const SIMULATIONS = 60;
const SEED = 38;

const time = fc.integer({ min: 500, max: 40_000 });
const losses = {
  hosts: fc.constantFrom(8, 12, 16, 24),
  alikePart: fc.constantFrom(0, 0.05, 0.3),
  rackLosses: fc.array(fc.record({ atMs: time, overMs: fc.integer({ min: 0, max: 900 }) }), {
    maxLength: 3,
  }),
  powerLosses: fc.array(time, { maxLength: 1 }),
  cuts: fc.array(time, { maxLength: 3 }),
  lossEveryMs: fc.integer({ min: 1_500, max: 10_000 }),
};

type Totals = {
  harmless: number;
  quarantined: number;
  alikeQuarantined: number;
  endedBy: number[];
};

function simulate(variations: fc.Arbitrary<Partial<CrashScenario>>): Totals {
  const totals: Totals = { harmless: 0, quarantined: 0, alikeQuarantined: 0, endedBy: [] };
  fc.sample(fc.tuple(variations, fc.integer()), { seed: SEED, numRuns: SIMULATIONS }).forEach(
    ([change, seed]) => {
      const result = simulateCrashes({ ...BASE_SCENARIO, ...change }, randomOf(seed));
      totals.harmless += result.harmless;
      totals.quarantined += result.quarantined;
      totals.alikeQuarantined += Number(result.isAlikeQuarantined);
      totals.endedBy.push(...result.endedBy);
    },
  );
  return totals;
}

function randomOf(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / 0x1_0000_0000;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

describe('evidence of requests that crash their hosts', () => {
  it('quarantines almost no harmless request when racks, single hosts and links are lost', () => {
    const { harmless, quarantined, alikeQuarantined } = simulate(fc.record(losses));
    expect(quarantined).to.be.below(harmless / 10_000);
    expect(alikeQuarantined).to.equal(0);
  });

  it('quarantines requests that crash hosts after a few hosts, also among other losses', () => {
    const crashing = fc.constantFrom(1, 2, 3);
    const { harmless, quarantined, endedBy } = simulate(fc.record({ ...losses, crashing }));
    expect(mean(endedBy)).to.be.below(6);
    expect(Math.max(...endedBy)).to.be.at.most(16);
    expect(quarantined).to.be.below(harmless / 3_000);
  });

  it('quarantines nothing for hosts of one rack that end one after the other', () => {
    const rackLosses = [8_000, 30_000].map(atMs => ({ atMs, overMs: 600 }));
    const lossEveryMs = 1e9;
    const totals = simulate(fc.constant({ hosts: 4, alikePart: 0.5, rackLosses, lossEveryMs }));
    expect(totals.quarantined).to.equal(0);
  });

  it('quarantines nothing for hosts of all racks that end at one moment', () => {
    const powerLosses = [8_000, 30_000];
    const totals = simulate(
      fc.constant({ hosts: 12, alikePart: 0.5, powerLosses, lossEveryMs: 1e9 }),
    );
    expect(totals.quarantined).to.equal(0);
  });
});

describe('evidence of two requests that share crashes', () => {
  let now: number;
  let evidence: CrashEvidence;

  beforeEach(() => {
    now = 0;
    evidence = new CrashEvidence(() => now);
  });

  function crash(host: string, ...fingerprints: string[]): void {
    now += 5_000;
    for (const fingerprint of fingerprints) {
      const origin = { route: 'r', workspace: 'w' };
      const report: CrashReport = {
        kind: 'crashed',
        fingerprint,
        host: { id: host },
        place: host,
        ranMs: 50,
        ageMs: 0,
        ...origin,
      };
      evidence.note(report);
    }
    now += 1_000;
  }

  function quarantined(): readonly string[] {
    return evidence.evaluate().map(({ fingerprint }) => fingerprint);
  }

  it('quarantines neither until the next run separates them', () => {
    crash('h1', 'a', 'b');
    crash('h2', 'a', 'b');
    crash('h3', 'a', 'b');
    expect(quarantined()).to.deep.equal([]);
    crash('h4', 'b', 'c');
    expect(quarantined()).to.deep.equal(['b']);
    crash('h5', 'a', 'd');
    expect(quarantined()).to.deep.equal([]);
  });

  it('quarantines one as soon as the other is completed', () => {
    crash('h1', 'a', 'b');
    crash('h2', 'a', 'b');
    crash('h3', 'a', 'b');
    expect(quarantined()).to.deep.equal([]);
    evidence.note({ kind: 'completed', fingerprint: 'a', ageMs: 0 });
    expect(quarantined()).to.deep.equal(['b']);
    expect(evidence.evaluateInMs(), 'nothing is left to evaluate').to.equal(undefined);
  });

  it('waits for reports of the same crash that arrive later', () => {
    const reportCrash = (fingerprint: string, host: string, ageMs: number): void => {
      const report = { host: { id: host }, place: host, ranMs: 50, ageMs };
      evidence.note({ kind: 'crashed', fingerprint, ...report, route: 'r', workspace: 'w' });
    };
    ['h1', 'h2', 'h3'].forEach(host => {
      now += 1_000;
      reportCrash('a', host, 0);
    });
    expect(evidence.evaluate()).to.deep.equal([]);
    now += 100;
    ['h1', 'h2', 'h3'].forEach((host, index) => {
      reportCrash('b', host, 100 + (2 - index) * 1_000);
    });
    expect(quarantined()).to.deep.equal([]);
  });

  it('does not wait for a pause between crashes', () => {
    const found: string[] = [];
    for (let index = 0; index < 12 && found.length === 0; index++) {
      const report = { host: { id: `h${index}` }, place: `h${index}`, ranMs: 50, ageMs: 0 };
      evidence.note({ kind: 'crashed', fingerprint: 'a', ...report, route: 'r', workspace: 'w' });
      now += 60;
      found.push(...quarantined());
    }
    expect(found).to.deep.equal(['a']);
    expect(evidence.crashCountOf('a')).to.be.at.most(6);
  });

  it('quarantines at least one when no run separates them', () => {
    ['h1', 'h2', 'h3', 'h4', 'h5'].forEach(host => {
      crash(host, 'a', 'b');
    });
    expect(quarantined().length).to.be.at.least(1);
  });
});

describe('evidence that entry hosts report to each other', () => {
  let now: number;

  function crashOf(fingerprint: string, host: string): CrashReport {
    const origin = { route: 'r', workspace: undefined };
    const run = { host: { id: host }, place: host, ranMs: 50, ageMs: 0 };
    return { kind: 'crashed', fingerprint, ...run, ...origin };
  }

  beforeEach(() => {
    now = 10_000;
  });

  it('leads to the same verdict in any order and with duplicates', () => {
    const order = fc.shuffledSubarray([0, 1, 2, 3, 4, 5, 0, 1, 2, 3, 4, 5], { minLength: 12 });
    fc.assert(
      fc.property(order, indexes => {
        now = 10_000;
        const first = new CrashEvidence(() => now);
        ['h1', 'h2', 'h3'].forEach(host => {
          first.note(crashOf('a', host));
          first.note(crashOf('b', host === 'h3' ? 'h9' : host));
          now += 2_000;
        });
        const second = new CrashEvidence(() => now);
        const reports = first.since(0);
        indexes.forEach(index => {
          const report = reports[index];
          if (report !== undefined) {
            second.note(report);
          }
        });
        const verdicts = (evidence: CrashEvidence): readonly string[] =>
          evidence.evaluate().map(({ fingerprint }) => fingerprint);
        expect(verdicts(second)).to.have.members([...verdicts(first)]);
      }),
      { seed: SEED },
    );
  });

  it('is reported once to each peer, and in full after a restart', () => {
    const evidence = new CrashEvidence(() => now);
    expect(evidence.note(crashOf('a', 'h1'))).to.equal('taken');
    expect(evidence.note(crashOf('a', 'h1'))).to.equal('known');
    const lastSequence = evidence.sequence;
    expect(evidence.since(lastSequence)).to.deep.equal([]);
    evidence.note(crashOf('a', 'h2'));
    expect(evidence.since(lastSequence)).to.have.length(1);
    expect(evidence.since(0)).to.have.length(2);
    expect(evidence.since(lastSequence + 100)).to.have.length(2);
  });

  it('does not count crashes again that a completed run has cleared', () => {
    const evidence = new CrashEvidence(() => now);
    const old = crashOf('a', 'h1');
    evidence.note(old);
    now += 500;
    evidence.note({ kind: 'completed', fingerprint: 'a', ageMs: 0 });
    expect(evidence.isSuspect('a')).to.equal(false);
    expect(evidence.note({ ...old, ageMs: 500 })).to.equal('known');
    expect(evidence.since(0).map(({ kind }) => kind)).to.deep.equal(['completed']);
  });

  it('is bounded when thousands of requests crash hosts, and keeps those with most crashes', () => {
    const evidence = new CrashEvidence(() => now);
    evidence.note(crashOf('twice', 'h1'));
    evidence.note(crashOf('twice', 'h2'));
    for (let index = 0; index < 20_000; index++) {
      now += 1;
      evidence.note(crashOf(`f${index}`, `h${index}`));
    }
    expect(evidence.suspectCount).to.be.at.most(2_048);
    expect(evidence.isSuspect('twice')).to.equal(true);
    expect(evidence.since(0).length).to.be.at.most(2_100);
  });

  it('is discarded after ten minutes', () => {
    const evidence = new CrashEvidence(() => now);
    evidence.note(crashOf('a', 'h1'));
    now += 601_000;
    expect(evidence.since(0)).to.deep.equal([]);
    expect(evidence.isSuspect('a')).to.equal(false);
  });
});
