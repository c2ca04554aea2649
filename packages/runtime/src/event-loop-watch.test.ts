/** Guards against a suspended process that resumes and takes others for silent before it detects its own suspension. */
import { expect } from 'chai';

import { EventLoopWatch } from './event-loop-watch.js';
import type { Log } from './log.js';
import { Metrics } from './metrics.js';

describe('event loop watch', () => {
  let now: number;
  let warnings: number;
  let watch: EventLoopWatch;

  beforeEach(() => {
    now = 1_000;
    warnings = 0;
    const log = { warn: () => (warnings += 1) } as unknown as Log;
    watch = new EventLoopWatch({ log, metrics: new Metrics(), now: () => now });
  });

  it('reports an interruption at the first query after it', () => {
    now += 1_400;
    expect(watch.resumedAt()).to.equal(2_400);
    now += 100;
    expect(watch.resumedAt()).to.equal(2_400);
    expect(warnings).to.equal(1);
  });

  it('does not report usual delays', () => {
    for (let turn = 0; turn < 20; turn++) {
      now += 200;
      expect(watch.resumedAt()).to.equal(-Infinity);
    }
  });
});
