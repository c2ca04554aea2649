/** What a request that gets no target is told, and whether it waits. */
import { expect } from 'chai';

import { describeStandings, isWorthWaiting, verdictOf } from './target-standings.js';

describe('standings of the targets of a request', () => {
  it('are not waited for when each one is evacuated or outside the home regions', () => {
    const standings = ['evacuated', 'outside-home-regions', 'tried'] as const;
    expect(isWorthWaiting({ standings, forming: 0 })).to.equal(false);
  });

  it('are waited for while a group forms where the request may go', () => {
    expect(isWorthWaiting({ standings: ['evacuated'], forming: 1 })).to.equal(true);
  });

  it('are waited for while one is held back for a moment only', () => {
    expect(isWorthWaiting({ standings: ['evacuated', 'cold-limit'], forming: 0 })).to.equal(true);
    expect(isWorthWaiting({ standings: ['evacuations-unknown'], forming: 0 })).to.equal(true);
  });

  it('are waited for when there are none yet', () => {
    expect(isWorthWaiting({ standings: [], forming: 0 })).to.equal(true);
  });

  it('give the verdict of most of those that were not tried', () => {
    const standings = ['tried', 'tried', 'draining', 'evacuated', 'evacuated'] as const;
    expect(verdictOf({ standings, forming: 0 })).to.equal('evacuated');
    expect(describeStandings({ standings, forming: 0 })).to.equal('tried:2,draining:1,evacuated:2');
  });

  it('say so when no host serves the request', () => {
    expect(verdictOf({ standings: [], forming: 0 })).to.equal('no-host');
    expect(verdictOf({ standings: ['tried'], forming: 0 })).to.equal('tried');
  });
});
