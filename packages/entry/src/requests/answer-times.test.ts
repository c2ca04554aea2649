/** Tests what a stopping entry host takes for the usual time of an answer. */
import { expect } from 'chai';

import { AnswerTimes } from './answer-times.js';

describe('usual time of answers', () => {
  it('is unknown without answers, and kept by route', () => {
    const times = new AnswerTimes();
    times.record('read', 10);
    expect(times.usualMs('chat')).to.equal(undefined);
    expect(times.usualMs('read')).to.equal(10);
  });

  it('passes over a single long answer, and forgets old ones', () => {
    const times = new AnswerTimes();
    Array.from({ length: 40 }, (_, index) => index).forEach(index => {
      times.record('read', index === 30 ? 9_000 : 50 + index);
    });
    expect(times.usualMs('read')).to.equal(89);
    Array.from({ length: 32 }, () => 5).forEach(ms => {
      times.record('read', ms);
    });
    expect(times.usualMs('read')).to.equal(5);
  });

  it('is forgotten for the routes that had no answer for the longest time', () => {
    const times = new AnswerTimes();
    times.record('unused', 10);
    Array.from({ length: 500 }, (_, index) => `route-${index}`).forEach(route => {
      times.record(route, 20);
    });
    expect(times.usualMs('unused')).to.equal(undefined);
    expect(times.usualMs('route-0')).to.equal(20);
  });
});
