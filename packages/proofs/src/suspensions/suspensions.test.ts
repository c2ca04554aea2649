/** Guards against requests refused as "not ready" for healthy replica groups because a process was suspended briefly. */
import { expect } from 'chai';

import { SUSPENSION_CASES } from './suspension-cases.js';
import { runSuspensions } from './suspension-session.js';

const SEED = 1;
const ROUNDS = 3;
/** Two for each caller; a low limit, as some cases suspend all processes most of the time. */
const MIN_REQUESTS = 8;
const TESTED_CASES = [
  'all controllers',
  'all entry processes',
  'engines and platform, long',
  'engines and platform, drain',
];

describe('processes suspended by signals', () => {
  for (const suspension of SUSPENSION_CASES.filter(({ name }) => TESTED_CASES.includes(name))) {
    it(`${suspension.name}: every caller gets its whole answer`, async () => {
      const report = await runSuspensions(suspension, { seed: SEED, rounds: ROUNDS });
      expect(report.breaches).to.deep.equal([]);
      expect(report.notWhole).to.deep.equal([]);
      expect(report.requests).to.be.at.least(MIN_REQUESTS);
    });
  }
});
