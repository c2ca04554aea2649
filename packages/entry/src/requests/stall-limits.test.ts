/** The patterns: a member of a group turns five times slower; a group dies. */
import { expect } from 'chai';

import type { SilentRun } from './stall-limits.js';
import { stallLimits } from './stall-limits.js';

const RUN: SilentRun = {
  begun: true,
  resumed: false,
  hostServesOthers: false,
  isGone: false,
  objectiveMs: 300,
  gapTargetMs: 200,
  typicalFirstMs: 160,
};

describe('limits of a silent run', () => {
  it('of a group that is five times slower are passed by its usual gaps', () => {
    const usualGapMs = 25;
    expect(stallLimits(RUN).reportMs).to.be.within(3 * usualGapMs, 5 * usualGapMs);
  });

  it('start a second attempt soon where other entry hosts can not connect any more', () => {
    expect(stallLimits({ ...RUN, isGone: true }).secondAttemptMs).to.be.below(RUN.gapTargetMs);
    const first = stallLimits({ ...RUN, begun: false, isGone: true });
    expect(first.secondAttemptMs).to.be.below(RUN.objectiveMs);
  });

  it('start a second attempt within the gap target only where it can still be in time', () => {
    expect(stallLimits(RUN).secondAttemptMs).to.be.at.least(RUN.gapTargetMs);
    const quick = stallLimits({ ...RUN, typicalFirstMs: 60 });
    expect(quick.secondAttemptMs + 60).to.be.at.most(RUN.gapTargetMs);
  });

  it('take a run for lost when its host serves nobody, long before its caller leaves', () => {
    const patienceMs = 8 * RUN.gapTargetMs;
    const { lostMs, secondAttemptMs } = stallLimits(RUN);
    expect(lostMs).to.be.within(secondAttemptMs, patienceMs / 2);
    expect(stallLimits({ ...RUN, hostServesOthers: true }).lostMs).to.equal(Infinity);
    const unreachable = stallLimits({ ...RUN, isGone: true });
    expect(unreachable.lostMs).to.equal(unreachable.secondAttemptMs);
  });

  it('wait longest at a host that serves others meanwhile', () => {
    const busy = stallLimits({ ...RUN, hostServesOthers: true });
    expect(busy.secondAttemptMs).to.be.greaterThan(stallLimits(RUN).secondAttemptMs);
  });

  it('start a second attempt before the first event only while it can be in time', () => {
    const quick = stallLimits({ ...RUN, begun: false, typicalFirstMs: 80 });
    expect(quick.secondAttemptMs + 80).to.be.at.most(RUN.objectiveMs);
    const usual = stallLimits({ ...RUN, begun: false });
    expect(usual.secondAttemptMs).to.be.greaterThan(RUN.objectiveMs);
  });

  it('report a first event that is far later than usual, and never before it is', () => {
    expect(stallLimits({ ...RUN, begun: false, typicalFirstMs: 80 }).reportMs).to.equal(200);
    const unknown = stallLimits({ ...RUN, begun: false, typicalFirstMs: undefined });
    expect(unknown.reportMs).to.be.greaterThan(RUN.objectiveMs);
  });

  it('of a resumed run follow the gap target, since its caller waits since the last event', () => {
    const resumed = stallLimits({ ...RUN, begun: false, resumed: true });
    expect(resumed.secondAttemptMs).to.equal(1_000);
  });
});
