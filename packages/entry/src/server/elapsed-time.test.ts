/** Tests the clock that includes suspensions, with a simulated monotonic clock and time of day. */
import { expect } from 'chai';
import fc from 'fast-check';

import { ElapsedClock } from './elapsed-time.js';

describe('elapsed clock', () => {
  let steady: number;
  let wall: number;
  let clock: ElapsedClock;
  let leaps: number[];

  beforeEach(() => {
    steady = 1_000;
    wall = 1_700_000_000_000;
    clock = new ElapsedClock({ steadyMs: () => steady, wallMs: () => Math.floor(wall) });
    leaps = [];
    clock.onLeap(ms => leaps.push(ms));
  });

  function advance(ms: number): void {
    steady += ms;
    wall += ms;
  }

  it('follows the monotonic clock, and the time of day through a suspension', () => {
    const before = clock.now();
    advance(500);
    wall += 10_000;
    advance(20);
    expect(clock.now() - before).to.equal(10_520);
    expect(leaps).to.deep.equal([10_000]);
  });

  it('never goes back and includes every suspension, however the time of day is set', () => {
    const step = fc.oneof(
      fc.record({ kind: fc.constant('run' as const), ms: fc.integer({ min: 0, max: 5_000 }) }),
      fc.record({
        kind: fc.constant('suspend' as const),
        ms: fc.integer({ min: 200, max: 30_000 }),
      }),
      fc.record({ kind: fc.constant('set' as const), ms: fc.integer({ min: -5_000, max: 5_000 }) }),
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), steps => {
        const start = clock.now();
        let last = start;
        let elapsed = 0;
        for (const { kind, ms } of steps) {
          if (kind === 'run') {
            advance(ms);
            elapsed += ms;
          } else {
            wall += ms;
            elapsed += kind === 'suspend' ? ms : 0;
          }
          // Read after each step, as in production use, so that a step of the time of day cannot cancel a suspension.
          const now = clock.now();
          expect(now).to.be.at.least(last);
          last = now;
        }
        expect(last - start).to.be.at.least(elapsed - steps.length);
      }),
      { seed: 39 },
    );
  });

  it('does not treat small adjustments of the time of day as leaps', () => {
    for (let second = 0; second < 600; second++) {
      advance(1_000);
      wall += 0.5;
      clock.now();
    }
    expect(leaps).to.deep.equal([]);
  });

  it('does not call a removed listener', () => {
    const listener = (ms: number): void => {
      leaps.push(-ms);
    };
    clock.onLeap(listener);
    clock.offLeap(listener);
    wall += 5_000;
    clock.now();
    expect(leaps).to.deep.equal([5_000]);
  });
});
