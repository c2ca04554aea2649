import { expect } from 'chai';

import type { RetryBudget } from '../routing/retry-budget.js';
import { monotonicMs } from '../server/time.js';
import { fullRetryBudget } from '../testing/full-retry-budget.js';
import { AttemptLog } from './attempt-log.js';
import type { RequestContext } from './request-context.js';

function contextOf(route: Partial<RequestContext['route']>): RequestContext {
  return {
    route: { kind: 'stream', resumable: true, maxAttempts: 2, ...route },
    callerSignal: new AbortController().signal,
    deadline: monotonicMs() + 5_000,
    isQuarantined: () => false,
  } as RequestContext;
}

function unusedBudget(): RetryBudget {
  return fullRetryBudget({ ratio: 0.2, slack: 160, windowMs: 10_000 }, 8);
}

describe('attempt log of a request', () => {
  it('bounds attempts by the route, whatever happened to the hosts', () => {
    const log = new AttemptLog(contextOf({ maxAttempts: 2 }), unusedBudget());
    log.noteSent({ id: 'first' });
    log.noteMayHaveRun();
    expect(log.takeRetry()).to.equal(true);
    log.noteSent({ id: 'second' });
    expect(log.takeRetry()).to.equal(false);
  });

  it('does not count an attempt of which nothing was sent', () => {
    const log = new AttemptLog(contextOf({ maxAttempts: 1 }), unusedBudget());
    log.noteSent({ id: 'unreachable' });
    log.noteNeverSent();
    expect(log.takeRetry()).to.equal(true);
  });

  it('does not count rejections as attempts, but allows at most three', () => {
    const call = { kind: 'non-idempotent', resumable: false, maxAttempts: 1 } as const;
    const log = new AttemptLog(contextOf(call), unusedBudget());
    for (const host of ['full', 'not-the-head']) {
      log.noteSent({ id: host });
      log.noteRejected();
      expect(log.takeRetry()).to.equal(true);
    }
    log.noteSent({ id: 'full-too' });
    log.noteRejected();
    expect(log.takeRetry()).to.equal(false);
  });

  it('allows no retry of a call that runs once after the first host that may have run it', () => {
    const call = { kind: 'non-idempotent', resumable: false, maxAttempts: 1 } as const;
    const log = new AttemptLog(contextOf(call), unusedBudget());
    log.noteSent({ id: 'full' });
    log.noteRejected();
    log.noteSent({ id: 'silent' });
    log.noteMayHaveRun();
    expect(log.takeRetry()).to.equal(false);
  });

  it('allows no retry once a call that may not be repeated may have run', () => {
    const log = new AttemptLog(
      contextOf({ kind: 'non-idempotent', resumable: false }),
      unusedBudget(),
    );
    log.noteSent({ id: 'first' });
    expect(log.canRetry()).to.equal(true);
    log.noteMayHaveRun();
    expect(log.canRetry()).to.equal(false);
  });

  it('takes retries from the budget that all requests share', () => {
    const budget = fullRetryBudget({ ratio: 0, slack: 20, windowMs: 10_000 }, 8);
    const first = new AttemptLog(contextOf({}), budget);
    first.noteSent({ id: 'host' });
    expect(first.takeRetry()).to.equal(true);
    const second = new AttemptLog(contextOf({}), budget);
    second.noteSent({ id: 'host' });
    expect(second.takeRetry()).to.equal(false);
  });

  it('allows no retry once the request is quarantined, without using the budget', () => {
    let isQuarantined = false;
    const context = { ...contextOf({}), isQuarantined: () => isQuarantined };
    const budget = unusedBudget();
    const log = new AttemptLog(context, budget);
    log.noteSent({ id: 'h1' });
    log.noteMayHaveRun();
    expect(log.canRetry()).to.equal(true);
    isQuarantined = true;
    expect(log.takeRetry()).to.equal(false);
    expect(log.canHedge('beside')).to.equal(false);
  });

  it('excludes a host only until its restart', () => {
    const log = new AttemptLog(contextOf({}), unusedBudget());
    log.noteSent({ id: 'h', startedAt: 10 });
    expect(log.tried.has('h@10')).to.equal(true);
    expect(log.tried.has('h@20')).to.equal(false);
  });
});
