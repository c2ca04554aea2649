/** Tests how long idle connections are kept. */
import { expect } from 'chai';
import fc from 'fast-check';

import { announcedIdleMs, DEFAULT_IDLE_MS, keptIdleMs } from './connection-reuse.js';

describe('the idle time of a kept connection', () => {
  it('is read from the Keep-Alive header', () => {
    expect(announcedIdleMs('timeout=5')).to.equal(5_000);
    expect(announcedIdleMs('max=100, timeout=12')).to.equal(12_000);
    expect(announcedIdleMs('Timeout=1')).to.equal(1_000);
    expect(announcedIdleMs('max=100')).to.equal(undefined);
    expect(announcedIdleMs('xtimeout=7')).to.equal(undefined);
    expect(announcedIdleMs(undefined)).to.equal(undefined);
  });

  it('is the default one if the upstream host announces none', () => {
    expect(keptIdleMs(undefined)).to.equal(DEFAULT_IDLE_MS);
  });

  it('ends before the announced one, by a margin for timers that fire late', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 1_000_000 }), seconds => {
        const announcedMs = seconds * 1_000;
        expect(announcedMs - keptIdleMs(announcedMs)).to.be.at.least(250);
        expect(keptIdleMs(announcedMs)).to.be.greaterThan(0);
      }),
    );
    expect(keptIdleMs(0)).to.equal(0);
    expect(keptIdleMs(10_000)).to.equal(9_000);
  });
});
