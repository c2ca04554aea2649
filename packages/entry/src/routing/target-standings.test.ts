import { expect } from 'chai';

import { describeStandings } from './target-standings.js';

describe('standings of the targets of a request', () => {
  it('are told with how many targets share each', () => {
    const standings = ['tried', 'tried', 'draining', 'evacuated', 'evacuated'] as const;
    expect(describeStandings(standings)).to.equal('tried:2,draining:1,evacuated:2');
    expect(describeStandings([])).to.equal('');
  });
});
