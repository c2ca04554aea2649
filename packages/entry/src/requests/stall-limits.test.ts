/** Tests two failures: a member of a replica group becomes five times slower, and a group is lost. */
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

describe('limits of a silent attempt', () => {
  it('report a group that is five times slower by its usual gaps', () => {
    const usualGapMs = 25;
    expect(stallLimits(RUN).reportMs).to.be.within(3 * usualGapMs, 5 * usualGapMs);
  });

  it('start a second attempt early if the host is unreachable for other entry hosts', () => {
    expect(stallLimits({ ...RUN, isGone: true }).secondAttemptMs).to.be.below(RUN.gapTargetMs);
    const first = stallLimits({ ...RUN, begun: false, isGone: true });
    expect(first.secondAttemptMs).to.be.below(RUN.objectiveMs);
  });

  it('start a second attempt within the gap target only if it can still meet that target', () => {
    expect(stallLimits(RUN).secondAttemptMs).to.be.at.least(RUN.gapTargetMs);
    const quick = stallLimits({ ...RUN, typicalFirstMs: 60 });
    expect(quick.secondAttemptMs + 60).to.be.at.most(RUN.gapTargetMs);
  });

  it('count an attempt as lost if no stream of its host progresses, long before its caller leaves', () => {
    const patienceMs = 8 * RUN.gapTargetMs;
    const { lostMs, secondAttemptMs } = stallLimits(RUN);
    expect(lostMs).to.be.within(secondAttemptMs, patienceMs / 2);
    expect(stallLimits({ ...RUN, hostServesOthers: true }).lostMs).to.equal(Infinity);
    const unreachable = stallLimits({ ...RUN, isGone: true });
    expect(unreachable.lostMs).to.equal(unreachable.secondAttemptMs);
  });

  it('wait longest at a host whose other streams progress', () => {
    const busy = stallLimits({ ...RUN, hostServesOthers: true });
    expect(busy.secondAttemptMs).to.be.greaterThan(stallLimits(RUN).secondAttemptMs);
  });

  it('start a second attempt before the first event only if it can meet the objective', () => {
    const quick = stallLimits({ ...RUN, begun: false, typicalFirstMs: 80 });
    expect(quick.secondAttemptMs + 80).to.be.at.most(RUN.objectiveMs);
    const usual = stallLimits({ ...RUN, begun: false });
    expect(usual.secondAttemptMs).to.be.greaterThan(RUN.objectiveMs);
  });

  it('report a first event only when it is far later than usual', () => {
    expect(stallLimits({ ...RUN, begun: false, typicalFirstMs: 80 }).reportMs).to.equal(200);
    const unknown = stallLimits({ ...RUN, begun: false, typicalFirstMs: undefined });
    expect(unknown.reportMs).to.be.greaterThan(RUN.objectiveMs);
  });

  it('of a resumed attempt follow the gap target, since the caller has waited since the last event', () => {
    const resumed = stallLimits({ ...RUN, begun: false, resumed: true });
    expect(resumed.secondAttemptMs).to.equal(1_000);
  });
});
