/** A process that was suspended must know it before it judges others by their silence. */
import { expect } from 'chai';

import { EventLoopWatch } from './event-loop-watch.js';
import type { Log } from './log.js';
import { Metrics } from './metrics.js';

describe('the watch over the event loop', () => {
  let now: number;
  let warnings: number;
  let watch: EventLoopWatch;

  beforeEach(() => {
    now = 1_000;
    warnings = 0;
    const log = { warn: () => (warnings += 1) } as unknown as Log;
    watch = new EventLoopWatch({ log, metrics: new Metrics(), now: () => now });
  });

  it('tells of an interruption at the first question after it', () => {
    now += 1_400;
    expect(watch.resumedAt()).to.equal(2_400);
    now += 100;
    expect(watch.resumedAt()).to.equal(2_400);
    expect(warnings).to.equal(1);
  });

  it('takes usual delays for none', () => {
    for (let turn = 0; turn < 20; turn++) {
      now += 200;
      expect(watch.resumedAt()).to.equal(-Infinity);
    }
  });
});
