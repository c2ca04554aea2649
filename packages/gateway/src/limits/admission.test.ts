/** Requests that arrive while no group of their model may serve. */
import { ProblemError } from '@hingescale/core';
import type { Metrics } from '@hingescale/runtime';
import { monotonicMs, sleep } from '@hingescale/runtime';
import { expect } from 'chai';

import type { AdmissionRequest } from './admission.js';
import { Admission } from './admission.js';

const DEADLINE_MS = 2_000;

describe('a request that arrives while no group of its model is certified', () => {
  let capacity: number;
  let expectedUntil: number;
  /** Results of the next readings of the expected time, in milliseconds; then `expectedUntil` decides. */
  let remainingReadings: number[];
  let admission: Admission;

  beforeEach(() => {
    capacity = 0;
    expectedUntil = -Infinity;
    remainingReadings = [];
    admission = new Admission({
      maxQueueLength: 10,
      capacity: () => capacity,
      expectedReturnMs: () =>
        remainingReadings.shift() ?? Math.max(0, expectedUntil - monotonicMs()),
      share: () => 1,
      runningAtOtherGateways: () => 0,
      metrics: { count: () => undefined } as unknown as Metrics,
    });
  });

  function request(): AdmissionRequest {
    const deadline = monotonicMs() + DEADLINE_MS;
    const gone = new AbortController().signal;
    return { model: 'm', workspace: 'w', priority: 0, deadline, gone };
  }

  async function outcomeOfEnter(): Promise<{ readonly code: string; readonly ms: number }> {
    const startedAt = monotonicMs();
    try {
      await admission.admit(request());
      return { code: 'admitted', ms: monotonicMs() - startedAt };
    } catch (error) {
      const code = error instanceof ProblemError ? error.reason : 'unexpected';
      return { code, ms: monotonicMs() - startedAt };
    }
  }

  it('is refused at once if no group is expected to serve again', async () => {
    const { code, ms } = await outcomeOfEnter();
    expect(code).to.equal('no-ready-group');
    expect(ms).to.be.below(50);
  });

  it('waits for a group whose certificate is renewed late, and is admitted', async () => {
    expectedUntil = monotonicMs() + 1_000;
    const outcome = outcomeOfEnter();
    await sleep(200);
    capacity = 1;
    admission.refresh();
    expect((await outcome).code).to.equal('admitted');
  });

  it('is refused when the expected group does not serve again in time', async () => {
    expectedUntil = monotonicMs() + 200;
    const { code, ms } = await outcomeOfEnter();
    expect(code).to.equal('no-ready-group');
    expect(ms).to.be.within(150, 600);
  });

  // Guards against waiting until the deadline if the expected time passes between two readings of the clock.
  it('is refused soon if the expected time passes while it is queued', async () => {
    remainingReadings = [1];
    const { code, ms } = await outcomeOfEnter();
    expect(code).to.equal('no-ready-group');
    expect(ms).to.be.below(600);
  });

  it('is refused soon if the expected time passes while the waiting requests are checked', async () => {
    remainingReadings = [1, 1, 1];
    const { code, ms } = await outcomeOfEnter();
    expect(code).to.equal('no-ready-group');
    expect(ms).to.be.below(600);
  });
});
