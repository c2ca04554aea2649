import { expect } from 'chai';

import { monotonicMs } from '../server/time.js';
import { StallMonitor } from './stall-monitor.js';

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** An attempt whose limit passes `limitMs` after its last progress. */
class FakeAttempt {
  readonly checkTimes: number[] = [];
  lastProgressAt = monotonicMs();
  stalledAt: number | undefined;
  readonly #limitMs: number;

  constructor(limitMs: number) {
    this.#limitMs = limitMs;
  }

  checkForStall(now: number): number {
    this.checkTimes.push(now);
    const left = this.lastProgressAt + this.#limitMs - now;
    if (left <= 0) {
      this.stalledAt ??= now;
    }
    return left;
  }
}

describe('stall monitor', () => {
  it('checks rarely while attempts progress', async () => {
    const monitor = new StallMonitor();
    const attempt = new FakeAttempt(200);
    monitor.add(attempt);
    for (let event = 0; event < 20; event++) {
      await wait(25);
      attempt.lastProgressAt = monotonicMs();
    }
    monitor.remove(attempt);
    expect(attempt.stalledAt).to.equal(undefined);
    expect(attempt.checkTimes.length).to.be.at.most(8);
  });

  it('detects the stall of each attempt at its own limit, in whatever order they were added', async () => {
    const monitor = new StallMonitor();
    const startedAt = monotonicMs();
    const patient = new FakeAttempt(400);
    const urgent = new FakeAttempt(100);
    monitor.add(patient);
    monitor.add(urgent);
    await wait(250);
    expect((urgent.stalledAt ?? Infinity) - startedAt).to.be.within(95, 180);
    expect(patient.stalledAt).to.equal(undefined);
    await wait(250);
    expect((patient.stalledAt ?? Infinity) - startedAt).to.be.within(395, 480);
    monitor.remove(patient);
    monitor.remove(urgent);
  });

  it('checks frequently while an attempt stays stalled, and not after it was removed', async () => {
    const monitor = new StallMonitor();
    const attempt = new FakeAttempt(1);
    monitor.add(attempt);
    await wait(150);
    monitor.remove(attempt);
    const checks = attempt.checkTimes.length;
    expect(checks).to.be.at.least(4);
    await wait(100);
    expect(attempt.checkTimes.length).to.equal(checks);
  });
});
