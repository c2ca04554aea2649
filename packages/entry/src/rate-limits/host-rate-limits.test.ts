import { expect } from 'chai';

import type { HostIncarnation } from '../hosts/host-entry.js';
import type { LogFields } from '../server/log.js';
import { silentLog } from '../server/log.js';
import { Counters, Gauges } from '../server/metrics.js';
import { HostRateLimits } from './host-rate-limits.js';
import { RETURN_SPREAD_MS } from './known-limit.js';

const HOST: HostIncarnation = { id: 'h', startedAt: 1 };

/** Rate limits of one entry host, with a simulated clock. */
class TestEntry {
  now = 0;
  reported = 0;
  readonly lines: LogFields[] = [];
  readonly counters = new Counters();
  readonly limits = new HostRateLimits({
    log: { ...silentLog(), info: (message, fields) => this.lines.push({ message, ...fields }) },
    bounds: () => ({ limitWindowMs: 4_000, limitOvershoot: 1.5, limitSlack: 5 }),
    onChange: () => (this.reported += 1),
    counters: this.counters,
    gauges: new Gauges(),
    now: () => this.now,
  });

  receive(perSecond: number, askedAt = this.now, host = HOST): void {
    const isLimited = perSecond !== Infinity;
    this.limits.receiveNotice(
      host,
      isLimited ? { kind: 'limited', perSecond } : { kind: 'unlimited' },
      askedAt,
    );
  }
}

describe('rate limits of hosts', () => {
  it('are logged when they begin and end, with the number of requests sent in between', () => {
    const entry = new TestEntry();
    entry.now = 1_000;
    entry.receive(1.5);
    entry.receive(1.2);
    expect(entry.limits.limitedHosts).to.equal(1);
    entry.limits.countSend(HOST);
    entry.limits.countSend({ id: 'other' });
    entry.now = 9_000;
    entry.receive(Infinity);
    expect(entry.limits.limitedHosts).to.equal(0);
    const end = { host: 'h', forMs: 8_000, sent: 1 };
    expect(entry.lines).to.deep.equal([
      { message: 'host has set a rate limit', host: 'h', perSecond: 1.5, source: 'own-answer' },
      { message: 'host has ended its rate limit', ...end, source: 'own-answer' },
    ]);
    expect(entry.counters.value('sends_to_limited_hosts_total')).to.equal(1);
  });

  it('do not end with an answer to a request that was sent before the limit was received', () => {
    const entry = new TestEntry();
    entry.now = 1_000;
    entry.receive(1);
    entry.now = 1_100;
    entry.receive(Infinity, 900);
    expect(entry.limits.limitedHosts).to.equal(1);
    entry.receive(Infinity, 1_050);
    expect(entry.limits.limitedHosts).to.equal(0);
  });

  it('are kept per host incarnation, and not for hosts without a limit', () => {
    const entry = new TestEntry();
    entry.receive(Infinity);
    entry.receive(1, 0, { id: 'h', startedAt: 2 });
    expect(entry.limits.limitedHosts).to.equal(1);
    entry.now = 10;
    entry.receive(Infinity);
    expect(entry.limits.limitedHosts).to.equal(1);
    expect(entry.lines).to.have.length(1);
  });

  it('apply to an entry host that received them from a peer, and end only with a requested report', () => {
    const [informed, other] = [new TestEntry(), new TestEntry()];
    informed.now = 1_000;
    informed.receive(2);
    other.now = 50_000;
    other.limits.receiveReports(informed.limits.since(0));
    expect(other.limits.boundOf(HOST, other.now)?.limit.perWindow).to.equal(8);
    expect(other.reported).to.equal(1);
    // A report that is already known is not reported again.
    other.limits.receiveReports(informed.limits.since(0));
    expect(other.reported).to.equal(1);
    const { sequence } = informed.limits;
    informed.now = 5_000;
    informed.receive(Infinity);
    other.now = 54_000;
    const end = informed.limits.since(sequence);
    expect(other.limits.receiveReports(end), 'should be requested').to.equal(true);
    expect(other.limits.limitedHosts).to.equal(1);
    other.limits.receiveReports(end, other.now - 10);
    expect(other.limits.limitedHosts).to.equal(0);
    expect(other.limits.boundOf(HOST, other.now + RETURN_SPREAD_MS)).to.equal(undefined);
  });

  it('are neither ended nor raised by a report that was delayed', () => {
    const [early, late] = [new TestEntry(), new TestEntry()];
    early.receive(1);
    early.now = 1_000;
    early.receive(Infinity);
    const end = early.limits.since(0);
    late.now = 9_000;
    late.receive(1);
    late.now = 9_500;
    late.limits.receiveReports(end);
    expect(late.limits.limitedHosts).to.equal(1);
    // A requested report has a known maximum age, which shows that this one is older.
    early.now = 10_000;
    late.now = 10_000;
    late.limits.receiveReports(early.limits.since(0), 9_990);
    expect(late.limits.limitedHosts).to.equal(1);
    early.limits.receiveReports(late.limits.since(0));
    expect(early.limits.limitedHosts).to.equal(1);
  });

  it('pass to the next owners if no former owner receives an answer, and stay with them', () => {
    const entry = new TestEntry();
    entry.receive(1);
    const turnAt = (now: number): number | undefined => entry.limits.boundOf(HOST, now)?.turn;
    expect(turnAt(9_999)).to.equal(0);
    expect(turnAt(10_000)).to.equal(1);
    expect(turnAt(21_000)).to.equal(2);
    entry.now = 22_000;
    entry.receive(1);
    expect(turnAt(31_000)).to.equal(2);
    const other = new TestEntry();
    other.receive(1);
    other.now = 22_000;
    other.limits.receiveReports(entry.limits.since(0), 22_000);
    expect(other.limits.boundOf(HOST, 22_000)?.turn).to.equal(2);
  });

  it('of 0 are raised to the minimum rate, and above the rate of any host are ignored', () => {
    const entry = new TestEntry();
    entry.receive(0);
    expect(entry.limits.boundOf(HOST, 0)?.limit).to.include({ perWindow: 0.4, mostPerWindow: 5 });
    entry.receive(1e9, 1, { id: 'large' });
    expect(entry.limits.boundOf({ id: 'large' }, 0)).to.equal(undefined);
  });
});
