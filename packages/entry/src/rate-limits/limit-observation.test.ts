import { expect } from 'chai';

import type { LimitObservation } from './limit-observation.js';
import { currentObservation } from './limit-observation.js';

const observation = (perSecond: number, askedAt: number, heardAt: number): LimitObservation => ({
  perSecond,
  askedAt,
  heardAt,
});

describe('the current one of two limit observations', () => {
  it('is the one whose request was sent after the other answer was received, in either order', () => {
    const earlier = observation(1, 100, 200);
    const later = observation(Infinity, 201, 300);
    expect(currentObservation(earlier, later)).to.equal(later);
    expect(currentObservation(later, earlier)).to.equal(later);
  });

  it('is the one with the lower limit if either may be newer', () => {
    const low = observation(1, 100, 200);
    const high = observation(5, 150, 250);
    expect(currentObservation(low, high)).to.equal(low);
    expect(currentObservation(high, low)).to.equal(low);
  });

  it('has the later times of both if the limits are equal', () => {
    const one = observation(1, -Infinity, 300);
    const other = observation(1, 100, 200);
    expect(currentObservation(one, other)).to.deep.equal(observation(1, 100, 300));
    expect(currentObservation(other, one)).to.deep.equal(observation(1, 100, 300));
  });

  it('is the first certainly newer one, even if its limit is higher and answers overlap all the time', () => {
    let current = observation(1, 0, 100);
    for (let at = 50; at < 200; at += 10) {
      current = currentObservation(current, observation(5, at, at + 100));
    }
    expect(current.perSecond).to.equal(5);
  });
});
