import { expect } from 'chai';

import { KIND_TIMINGS } from './followed-kinds.js';

/** Time that answers take on the way, with room for a busy host, in milliseconds. */
const TRANSIT_MS = 300;

describe('followed kinds', () => {
  for (const [kind, timing] of Object.entries(KIND_TIMINGS)) {
    it(`${kind} are not taken for stale while nothing changes`, () => {
      const oldest = 2 * timing.storeWaitMs + timing.peerWaitMs + TRANSIT_MS;
      expect(timing.staleMs).to.be.at.least(oldest);
    });
  }
});
