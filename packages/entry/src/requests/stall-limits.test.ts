/** Tests two failures: a member of a replica group becomes five times slower, and a group is lost. */
import { expect } from 'chai';

import type { SilentAttempt } from './stall-limits.js';
import { stallLimits } from './stall-limits.js';

const RUN: SilentAttempt = {
  hasBegun: true,
  isResumed: false,
  hostServesOthers: false,
  isLost: false,
  objectiveMs: 300,
  gapTargetMs: 200,
  typicalFirstEventMs: 160,
};

describe('limits of a silent attempt', () => {
  it('report a group that is five times slower by its usual gaps', () => {
    const usualGapMs = 25;
    expect(stallLimits(RUN).reportMs).to.be.within(3 * usualGapMs, 5 * usualGapMs);
  });

  it('start a second attempt early if the host is unreachable for other entry hosts', () => {
    expect(stallLimits({ ...RUN, isLost: true }).secondAttemptMs).to.be.below(RUN.gapTargetMs);
    const first = stallLimits({ ...RUN, hasBegun: false, isLost: true });
    expect(first.secondAttemptMs).to.be.below(RUN.objectiveMs);
  });

  it('start a second attempt within the gap target only if it can still meet that target', () => {
    expect(stallLimits(RUN).secondAttemptMs).to.be.at.least(RUN.gapTargetMs);
    const quick = stallLimits({ ...RUN, typicalFirstEventMs: 60 });
    expect(quick.secondAttemptMs + 60).to.be.at.most(RUN.gapTargetMs);
  });

  it('count an attempt as lost if no stream of its host progresses, long before its caller leaves', () => {
    const patienceMs = 8 * RUN.gapTargetMs;
    const { lostMs, secondAttemptMs } = stallLimits(RUN);
    expect(lostMs).to.be.within(secondAttemptMs, patienceMs / 2);
    expect(stallLimits({ ...RUN, hostServesOthers: true }).lostMs).to.equal(Infinity);
    const unreachable = stallLimits({ ...RUN, isLost: true });
    expect(unreachable.lostMs).to.equal(unreachable.secondAttemptMs);
  });

  it('wait longest at a host whose other streams progress', () => {
    const busy = stallLimits({ ...RUN, hostServesOthers: true });
    expect(busy.secondAttemptMs).to.be.greaterThan(stallLimits(RUN).secondAttemptMs);
  });

  it('start a second attempt before the first event only if it can meet the objective', () => {
    const quick = stallLimits({ ...RUN, hasBegun: false, typicalFirstEventMs: 80 });
    expect(quick.secondAttemptMs + 80).to.be.at.most(RUN.objectiveMs);
    const usual = stallLimits({ ...RUN, hasBegun: false });
    expect(usual.secondAttemptMs).to.be.greaterThan(RUN.objectiveMs);
  });

  it('report a first event only when it is far later than usual', () => {
    expect(stallLimits({ ...RUN, hasBegun: false, typicalFirstEventMs: 80 }).reportMs).to.equal(
      200,
    );
    const unknown = stallLimits({ ...RUN, hasBegun: false, typicalFirstEventMs: undefined });
    expect(unknown.reportMs).to.be.greaterThan(RUN.objectiveMs);
  });

  it('of a resumed attempt follow the gap target, since the caller has waited since the last event', () => {
    const resumed = stallLimits({ ...RUN, hasBegun: false, isResumed: true });
    expect(resumed.secondAttemptMs).to.equal(1_000);
  });
});
