/** A short mixed session with a fixed seed; `npm run test:mixed` runs longer ones. */
import { expect } from 'chai';

import { runMixed } from './mixed-session.js';

describe('mixed session', () => {
  it('all promises hold under failures in any order', async () => {
    const report = await runMixed({ seed: 2026, runs: 2, commands: 10 });
    expect(report.deliveries).to.be.greaterThan(50);
  }).timeout(180_000);
});
