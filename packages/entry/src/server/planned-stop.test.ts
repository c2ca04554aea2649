/** Guards against a planned stop that exceeds the grace time, after which the platform kills the process. */
import { expect } from 'chai';

import { finishRequests, PlannedStop } from './planned-stop.js';
import { sleep } from './time.js';

const GRACE_MS = 8_000;
/** Milliseconds by which each reading advances the clock, so that a test takes a fraction of the time. */
const MS_PER_READING = 500;

describe('planned stop', () => {
  let clockMs = 0;
  let closes = 0;

  beforeEach(() => {
    clockMs = 0;
    closes = 0;
  });

  async function stopDurationMs(open: () => number): Promise<number> {
    const server = { close: () => (closes += 1), closeIdle: () => undefined };
    const requests = {
      get count() {
        return open();
      },
    };
    const now = (): number => (clockMs += MS_PER_READING);
    await finishRequests(new PlannedStop(GRACE_MS, now), { servers: [server], requests });
    return clockMs;
  }

  it('ends when the notice time has passed and no request is open', async () => {
    expect(await stopDurationMs(() => 0)).to.be.within(2_600, 4_500);
    expect(closes).to.equal(1);
  });

  it('ends within the grace time although a request is still open', async () => {
    expect(await stopDurationMs(() => 1)).to.be.within(7_000, GRACE_MS);
  });

  it('includes the time for which the process was suspended', async () => {
    const ended = stopDurationMs(() => 1);
    await sleep(10);
    clockMs = 7_400;
    expect(await ended).to.be.below(GRACE_MS + MS_PER_READING);
  });

  // Guards against long answers that are cut although most of a short grace time is left.
  it('leaves requests in progress five sixths of the grace time at least', () => {
    for (const graceMs of [600, 3_000, 4_200, GRACE_MS, 30_000]) {
      const { leftMs } = new PlannedStop(graceMs, () => 0);
      expect(leftMs).to.be.within((graceMs * 5) / 6, graceMs - 100);
    }
  });
});
