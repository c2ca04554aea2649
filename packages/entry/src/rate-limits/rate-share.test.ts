import { expect } from 'chai';
import fc from 'fast-check';

import type { RateLimit } from './rate-share.js';
import { rateShare, sendIntervalMs, TOLERATED_LAG, wholeShare } from './rate-share.js';

const WINDOW_MS = 1_000;

/** Returns the most sends in one window if the view of each entry host lacks any number of members up to `lag`. */
function worstWindow(limit: RateLimit, members: number, lag: number): number {
  let sum = 0;
  for (let place = 0; place < members; place += 1) {
    let maxSends = 0;
    for (let missing = 0; missing <= Math.min(lag, members - 1); missing += 1) {
      const share = rateShare(limit, members - missing);
      // `missing` of the members that precede this one are not in its view.
      if (place < share.owners + missing) {
        maxSends = Math.max(
          maxSends,
          Math.ceil(WINDOW_MS / sendIntervalMs(share, { windowMs: WINDOW_MS })),
        );
      }
    }
    sum += maxSends;
  }
  return sum;
}

const limitOf = (perWindow: number, overshoot: number, slack: number): RateLimit => ({
  windowMs: WINDOW_MS,
  perWindow,
  mostPerWindow: perWindow * overshoot + slack,
});

describe('shares of a rate limit', () => {
  const typical = limitOf(14, 1.5, 5);

  it('divides the rate among as many owners as the limit allows', () => {
    expect(rateShare(typical, 300)).to.deep.equal({ owners: 14, perWindow: 1 });
    expect(rateShare(typical, 12)).to.deep.equal({ owners: 12, perWindow: 1 });
    expect(rateShare(typical, 9)).to.deep.equal({ owners: 7, perWindow: 2 });
    expect(rateShare(typical, 5)).to.deep.equal({ owners: 4, perWindow: 3 });
  });

  it('keeps within the bound in any window while views lack a few members, for any limit', () => {
    const figures = fc.record({
      rate: fc.double({ min: 0.2, max: 60, noNaN: true }),
      overshoot: fc.double({ min: 1, max: 2, noNaN: true }),
      slack: fc.integer({ min: 0, max: 10 }),
      members: fc.integer({ min: 1, max: 60 }),
    });
    fc.assert(
      fc.property(figures, ({ rate, overshoot, slack, members }) => {
        const limit = limitOf(rate, overshoot, slack);
        // Even a single owner needs room in the bound for the members that its view may lack.
        const lag = Math.min(TOLERATED_LAG, Math.max(0, Math.floor(limit.mostPerWindow) - 1));
        const most = Math.max(limit.mostPerWindow, 1);
        return worstWindow(limit, members, lag) <= most;
      }),
      { numRuns: 2_000 },
    );
  });

  it('uses most of the rate with five or more members, if the bound leaves room', () => {
    for (let members = 5; members <= 300; members += 1) {
      const share = rateShare(typical, members);
      expect(
        share.owners * (WINDOW_MS / sendIntervalMs(share, { windowMs: WINDOW_MS })),
        String(members),
      ).to.be.at.least(11.2);
    }
  });

  it('keeps within the bound with twelve unknown members if there are many members', () => {
    for (let members = 26; members <= 300; members += 1) {
      expect(worstWindow(typical, members, 12)).to.be.at.most(26);
    }
  });

  it('has one owner if the bound leaves no room for more', () => {
    expect(rateShare(limitOf(3, 1, 0), 90)).to.deep.equal({ owners: 1, perWindow: 1 });
    expect(rateShare(limitOf(0.5, 1, 1), 90)).to.deep.equal({ owners: 1, perWindow: 0.5 });
    expect(rateShare(limitOf(0.5, 1, 0), 90).owners).to.equal(0);
  });

  it('gives the whole rate to an entry host without peers', () => {
    expect(wholeShare(typical)).to.deep.equal({ owners: 1, perWindow: 14 });
    expect(wholeShare(limitOf(0.5, 1, 0)).perWindow).to.equal(0);
    expect(sendIntervalMs(wholeShare(limitOf(0.5, 1, 0)), { windowMs: WINDOW_MS })).to.equal(
      Infinity,
    );
  });
});
