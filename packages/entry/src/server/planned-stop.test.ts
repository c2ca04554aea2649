/** Guards against a planned stop that outlasts the grace time, at whose end the platform kills the process. */
import { expect } from 'chai';

import { finishRequests } from './planned-stop.js';
import { sleep } from './time.js';

const GRACE_MS = 8_000;
/** Milliseconds of the clock for each look at it, so that a test takes a fraction of the time. */
const STEP_MS = 500;

describe('a planned stop', () => {
  let clockMs = 0;
  let closes = 0;

  beforeEach(() => {
    clockMs = 0;
    closes = 0;
  });

  async function timeOf(open: () => number): Promise<number> {
    const callers = { close: () => (closes += 1), closeIdle: () => undefined };
    const requests = {
      get open() {
        return open();
      },
    };
    const now = (): number => (clockMs += STEP_MS);
    await finishRequests({ callers, requests, graceMs: GRACE_MS, now });
    return clockMs;
  }

  it('ends once callers have noticed and no request is open', async () => {
    expect(await timeOf(() => 0)).to.be.within(2_600, 4_500);
    expect(closes).to.equal(1);
  });

  it('ends before the grace time is over although a request is still open', async () => {
    expect(await timeOf(() => 1)).to.be.within(7_000, GRACE_MS);
  });

  it('counts the time for which the process was suspended', async () => {
    const ended = timeOf(() => 1);
    await sleep(10);
    clockMs = 7_400;
    expect(await ended).to.be.below(GRACE_MS + STEP_MS);
  });
});
