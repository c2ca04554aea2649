/** The pattern: a group dies or turns slow, and many entry hosts each send to it seldom. */
import { expect } from 'chai';

import type { OutlierReport } from './outlier-reports.js';
import { OutlierReports } from './outlier-reports.js';

function report(reporter: string, reporterDomain = 'a', ageMs = 0): OutlierReport {
  const target = { target: 'g1', targetHost: 'h1', targetDomain: 'b', isUnreachable: false };
  return { ...target, reporter, reporterDomain, ageMs };
}

describe('reports of outliers', () => {
  let now = 0;
  let reports: OutlierReports;

  const ejectedFor = (ownDomain: string, targetDomain = 'b'): boolean =>
    reports.verdict('g1', targetDomain, ownDomain, now) !== undefined;

  beforeEach(() => {
    now = 100_000;
    reports = new OutlierReports(() => now);
  });

  it('eject a target once two entry hosts have met it', () => {
    expect(reports.note(report('e1'))).to.equal('taken');
    expect(reports.note(report('e1'))).to.equal('known');
    expect(ejectedFor('a')).to.equal(false);
    expect(reports.note(report('e2'))).to.equal('ejected');
    expect(ejectedFor('a')).to.equal(true);
  });

  it('tell a target that can not be reached from one that is slow', () => {
    reports.note(report('e1'));
    reports.note(report('e2'));
    expect(reports.verdict('g1', 'b', 'a', now)).to.deep.equal({
      reporters: 2,
      isUnreachable: false,
    });
    ['e3', 'e4'].forEach(name => {
      reports.note({ ...report(name), isUnreachable: true });
    });
    expect(reports.verdict('g1', 'b', 'a', now)?.isUnreachable).to.equal(true);
  });

  it('of a failure domain that is cut off say nothing to the others', () => {
    reports.note(report('e1'));
    reports.note(report('e2'));
    expect(ejectedFor('c')).to.equal(false);
    expect(ejectedFor('b')).to.equal(false);
  });

  it('of the failure domain of the target count everywhere', () => {
    reports.note(report('e1', 'b'));
    reports.note(report('e2', 'b'));
    expect(ejectedFor('c')).to.equal(true);
  });

  it('lapse, and last longer each time that the target is met again', () => {
    const ejectedMs = (): number => {
      const from = now;
      reports.note(report('e1'));
      reports.note(report('e2'));
      while (ejectedFor('a')) {
        now += 100;
      }
      now += 200;
      return now - from - 200;
    };
    const first = ejectedMs();
    expect(first).to.equal(1_500);
    expect(ejectedMs()).to.equal(2 * first);
    expect(ejectedMs()).to.equal(4 * first);
    expect(ejectedMs()).to.equal(4 * first);
    now += 20_000;
    reports.since(0);
    expect(ejectedMs()).to.equal(first);
  });

  it('are passed on once to whoever names the last one it has heard', () => {
    reports.note(report('e1'));
    const { sequence } = reports;
    expect(reports.since(sequence)).to.deep.equal([]);
    reports.note(report('e2'));
    expect(reports.since(sequence).map(({ reporter }) => reporter)).to.deep.equal(['e2']);
    expect(reports.since(sequence + 100), 'of an earlier start').to.have.length(2);
  });

  it('pass on what is needed, however many have met the target, and keep their age', () => {
    for (let host = 0; host < 50; host++) {
      reports.note(report(`e${host}`, host < 25 ? 'a' : 'b'));
    }
    now += 1_000;
    const passed = reports.since(0);
    expect(passed).to.have.length(4);
    const follower = new OutlierReports(() => now);
    passed.forEach(one => follower.note(one));
    expect(follower.verdict('g1', 'b', 'a', now)).not.to.equal(undefined);
    expect(follower.verdict('g1', 'b', 'a', now + 600)).to.equal(undefined);
  });
});
