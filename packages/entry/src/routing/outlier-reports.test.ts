/** Outlier reports on a group that fails or becomes slow, while many entry hosts each send to it rarely. */
import { expect } from 'chai';

import type { OutlierReport } from './outlier-reports.js';
import { OutlierReports } from './outlier-reports.js';

function report(reporter: string, reporterDomain = 'a', ageMs = 0): OutlierReport {
  const target = { target: 'g1', targetHost: 'h1', targetDomain: 'b', isUnreachable: false };
  return { ...target, reporter, reporterDomain, ageMs };
}

describe('outlier reports', () => {
  let now = 0;
  let reports: OutlierReports;

  const isEjectedFor = (ownDomain: string, targetDomain = 'b'): boolean =>
    reports.verdict('g1', targetDomain, ownDomain, now) !== undefined;

  beforeEach(() => {
    now = 100_000;
    reports = new OutlierReports(() => now);
  });

  it('eject a target once two entry hosts have reported it', () => {
    expect(reports.note(report('e1'))).to.equal('taken');
    expect(reports.note(report('e1'))).to.equal('known');
    expect(isEjectedFor('a')).to.equal(false);
    expect(reports.note(report('e2'))).to.equal('ejected');
    expect(isEjectedFor('a')).to.equal(true);
  });

  it('distinguish an unreachable target from a slow one', () => {
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

  it('from another failure domain do not count, since that domain may be cut off', () => {
    reports.note(report('e1'));
    reports.note(report('e2'));
    expect(isEjectedFor('c')).to.equal(false);
    expect(isEjectedFor('b')).to.equal(false);
  });

  it('from the failure domain of the target count everywhere', () => {
    reports.note(report('e1', 'b'));
    reports.note(report('e2', 'b'));
    expect(isEjectedFor('c')).to.equal(true);
  });

  it('expire, and eject for longer each time the target is reported again', () => {
    const measureEjectionMs = (): number => {
      const startedAt = now;
      reports.note(report('e1'));
      reports.note(report('e2'));
      while (isEjectedFor('a')) {
        now += 100;
      }
      now += 200;
      return now - startedAt - 200;
    };
    const shortest = measureEjectionMs();
    expect(shortest).to.equal(1_500);
    expect(measureEjectionMs()).to.equal(2 * shortest);
    expect(measureEjectionMs()).to.equal(4 * shortest);
    expect(measureEjectionMs()).to.equal(4 * shortest);
    now += 20_000;
    reports.since(0);
    expect(measureEjectionMs()).to.equal(shortest);
  });

  it('are returned only after the sequence number that a peer has received last', () => {
    reports.note(report('e1'));
    const { sequence } = reports;
    expect(reports.since(sequence)).to.deep.equal([]);
    reports.note(report('e2'));
    expect(reports.since(sequence).map(({ reporter }) => reporter)).to.deep.equal(['e2']);
    expect(
      reports.since(sequence + 100),
      'a sequence number of an earlier incarnation',
    ).to.have.length(2);
  });

  it('are passed on with their age, and only as many as an ejection needs', () => {
    for (let host = 0; host < 50; host++) {
      reports.note(report(`e${host}`, host < 25 ? 'a' : 'b'));
    }
    now += 1_000;
    const passedOn = reports.since(0);
    expect(passedOn).to.have.length(4);
    const peer = new OutlierReports(() => now);
    passedOn.forEach(passedReport => peer.note(passedReport));
    expect(peer.verdict('g1', 'b', 'a', now)).not.to.equal(undefined);
    expect(peer.verdict('g1', 'b', 'a', now + 600)).to.equal(undefined);
  });
});
