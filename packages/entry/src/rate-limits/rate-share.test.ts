import { expect } from 'chai';
import fc from 'fast-check';

import type { RateLimit } from './rate-share.js';
import { rateShare, sendIntervalMs, TOLERATED_LAG, wholeShare } from './rate-share.js';

const WINDOW_MS = 1_000;

/** Most sends in one window, whatever each of `members` hosts has not heard of, up to `lag` members. */
function worstWindow(limit: RateLimit, members: number, lag: number): number {
  let sum = 0;
  for (let place = 0; place < members; place += 1) {
    let most = 0;
    for (let missing = 0; missing <= Math.min(lag, members - 1); missing += 1) {
      const share = rateShare(limit, members - missing);
      // Of the members that precede this one, `missing` are not in its view.
      if (place < share.owners + missing) {
        most = Math.max(
          most,
          Math.ceil(WINDOW_MS / sendIntervalMs(share, { windowMs: WINDOW_MS })),
        );
      }
    }
    sum += most;
  }
  return sum;
}

const limitOf = (perWindow: number, overshoot: number, slack: number): RateLimit => ({
  windowMs: WINDOW_MS,
  perWindow,
  mostPerWindow: perWindow * overshoot + slack,
});

describe('share of a host that takes few requests', () => {
  const typical = limitOf(14, 1.5, 5);

  it('divides the rate among as many owners as there may be', () => {
    expect(rateShare(typical, 300)).to.deep.equal({ owners: 14, perWindow: 1 });
    expect(rateShare(typical, 12)).to.deep.equal({ owners: 12, perWindow: 1 });
    expect(rateShare(typical, 9)).to.deep.equal({ owners: 7, perWindow: 2 });
    expect(rateShare(typical, 5)).to.deep.equal({ owners: 4, perWindow: 3 });
  });

  it('keeps the bound in any window while views lack a few members, for any figures', () => {
    const figures = fc.record({
      rate: fc.double({ min: 0.2, max: 60, noNaN: true }),
      overshoot: fc.double({ min: 1, max: 2, noNaN: true }),
      slack: fc.integer({ min: 0, max: 10 }),
      members: fc.integer({ min: 1, max: 60 }),
    });
    fc.assert(
      fc.property(figures, ({ rate, overshoot, slack, members }) => {
        const limit = limitOf(rate, overshoot, slack);
        // Even a single owner needs room in the bound for members that its view may lack.
        const lag = Math.min(TOLERATED_LAG, Math.max(0, Math.floor(limit.mostPerWindow) - 1));
        const most = Math.max(limit.mostPerWindow, 1);
        return worstWindow(limit, members, lag) <= most;
      }),
      { numRuns: 2_000 },
    );
  });

  it('uses most of the rate from five members on, where the bound leaves room', () => {
    for (let members = 5; members <= 300; members += 1) {
      const share = rateShare(typical, members);
      expect(
        share.owners * (WINDOW_MS / sendIntervalMs(share, { windowMs: WINDOW_MS })),
        String(members),
      ).to.be.at.least(11.2);
    }
  });

  it('bears a dozen of unknown members where there are many', () => {
    for (let members = 26; members <= 300; members += 1) {
      expect(worstWindow(typical, members, 12)).to.be.at.most(26);
    }
  });

  it('leaves one owner where the bound has no room', () => {
    expect(rateShare(limitOf(3, 1, 0), 90)).to.deep.equal({ owners: 1, perWindow: 1 });
    expect(rateShare(limitOf(0.5, 1, 1), 90)).to.deep.equal({ owners: 1, perWindow: 0.5 });
    expect(rateShare(limitOf(0.5, 1, 0), 90).owners).to.equal(0);
  });

  it('gives the whole rate to an entry host that is alone', () => {
    expect(wholeShare(typical)).to.deep.equal({ owners: 1, perWindow: 14 });
    expect(wholeShare(limitOf(0.5, 1, 0)).perWindow).to.equal(0);
    expect(sendIntervalMs(wholeShare(limitOf(0.5, 1, 0)), { windowMs: WINDOW_MS })).to.equal(
      Infinity,
    );
  });
});
