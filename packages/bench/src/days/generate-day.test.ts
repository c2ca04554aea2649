import { expect } from 'chai';

import { generateDay } from './generate-day.js';

const SITE = `name = "site"

[[day]]
name = "quiet-1"
seed = 5
plan = [
  { at = 1.0, kind = "scale_out" },
]
faults = [
]
traffic = []

[[day]]
name = "other"
`;

describe('generated days', () => {
  it('are the same for the same seed, and keep the frame of the first day', () => {
    const day = generateDay(SITE, 7);
    expect(day).to.equal(generateDay(SITE, 7));
    expect(day).not.to.equal(generateDay(SITE, 8));
    expect(day).to.contain('name = "own-7"');
    expect(day).to.contain('kind = "scale_out"');
    expect(day).not.to.contain('other');
    expect(day.match(/\{ at = /g)).to.have.length(9);
  });
});
