import { expect } from 'chai';

import type { HostIncarnation } from '../hosts/host-entry.js';
import type { LogFields } from '../server/log.js';
import { silentLog } from '../server/log.js';
import { Counters, Gauges } from '../server/metrics.js';
import { RETURN_SPREAD_MS } from './known-limit.js';
import { NamedLimits } from './named-limits.js';

const HOST: HostIncarnation = { id: 'h', startedAt: 1 };

class Subject {
  now = 0;
  reported = 0;
  readonly lines: LogFields[] = [];
  readonly counters = new Counters();
  readonly limits = new NamedLimits({
    log: { ...silentLog(), info: (message, fields) => this.lines.push({ message, ...fields }) },
    bounds: () => ({ limitWindowMs: 4_000, limitOvershoot: 1.5, limitSlack: 5 }),
    reported: () => (this.reported += 1),
    counters: this.counters,
    gauges: new Gauges(),
    now: () => this.now,
  });

  hears(perSecond: number, askedAt = this.now, host = HOST): void {
    const isLimited = perSecond !== Infinity;
    this.limits.hear(
      host,
      isLimited ? { kind: 'limited', perSecond } : { kind: 'unlimited' },
      askedAt,
    );
  }
}

describe('limits that hosts name', () => {
  it('are told when they begin and end, with what was sent meanwhile', () => {
    const subject = new Subject();
    subject.now = 1_000;
    subject.hears(1.5);
    subject.hears(1.2);
    expect(subject.limits.limited).to.equal(1);
    subject.limits.noteSend(HOST);
    subject.limits.noteSend({ id: 'other' });
    subject.now = 9_000;
    subject.hears(Infinity);
    expect(subject.limits.limited).to.equal(0);
    const end = { host: 'h', forMs: 8_000, sent: 1 };
    expect(subject.lines).to.deep.equal([
      { message: 'host names a limit', host: 'h', perSecond: 1.5, source: 'own-answer' },
      { message: 'host names no limit any more', ...end, source: 'own-answer' },
    ]);
    expect(subject.counters.value('sends_to_limited_hosts_total')).to.equal(1);
  });

  it('do not end with an answer to a request that was sent before the limit was heard', () => {
    const subject = new Subject();
    subject.now = 1_000;
    subject.hears(1);
    subject.now = 1_100;
    subject.hears(Infinity, 900);
    expect(subject.limits.limited).to.equal(1);
    subject.hears(Infinity, 1_050);
    expect(subject.limits.limited).to.equal(0);
  });

  it('are kept by start of the host, and nothing of hosts that name none', () => {
    const subject = new Subject();
    subject.hears(Infinity);
    subject.hears(1, 0, { id: 'h', startedAt: 2 });
    expect(subject.limits.limited).to.equal(1);
    subject.now = 10;
    subject.hears(Infinity);
    expect(subject.limits.limited).to.equal(1);
    expect(subject.lines).to.have.length(1);
  });

  it('bind an entry host that heard of them from another one, and the end does when it was asked for', () => {
    const [told, other] = [new Subject(), new Subject()];
    told.now = 1_000;
    told.hears(2);
    other.now = 50_000;
    other.limits.take(told.limits.since(0));
    expect(other.limits.boundOf(HOST, other.now)?.limit.perWindow).to.equal(8);
    expect(other.reported).to.equal(1);
    // What is known already is not passed on again.
    other.limits.take(told.limits.since(0));
    expect(other.reported).to.equal(1);
    const { sequence } = told.limits;
    told.now = 5_000;
    told.hears(Infinity);
    other.now = 54_000;
    const end = told.limits.since(sequence);
    expect(other.limits.take(end), 'worth asking for').to.equal(true);
    expect(other.limits.limited).to.equal(1);
    other.limits.take(end, other.now - 10);
    expect(other.limits.limited).to.equal(0);
    expect(other.limits.boundOf(HOST, other.now + RETURN_SPREAD_MS)).to.equal(undefined);
  });

  it('are neither ended nor raised by what was on its way for long', () => {
    const [early, late] = [new Subject(), new Subject()];
    early.hears(1);
    early.now = 1_000;
    early.hears(Infinity);
    const end = early.limits.since(0);
    late.now = 9_000;
    late.hears(1);
    late.now = 9_500;
    late.limits.take(end);
    expect(late.limits.limited).to.equal(1);
    // Asked for since, it is known to be older.
    early.now = 10_000;
    late.now = 10_000;
    late.limits.take(early.limits.since(0), 9_990);
    expect(late.limits.limited).to.equal(1);
    early.limits.take(late.limits.since(0));
    expect(early.limits.limited).to.equal(1);
  });

  it('go to the next owners when none of the former ones is answered, and stay there', () => {
    const subject = new Subject();
    subject.hears(1);
    const turnAt = (now: number): number | undefined => subject.limits.boundOf(HOST, now)?.turn;
    expect(turnAt(9_999)).to.equal(0);
    expect(turnAt(10_000)).to.equal(1);
    expect(turnAt(21_000)).to.equal(2);
    subject.now = 22_000;
    subject.hears(1);
    expect(turnAt(31_000)).to.equal(2);
    const other = new Subject();
    other.hears(1);
    other.now = 22_000;
    other.limits.take(subject.limits.since(0), 22_000);
    expect(other.limits.boundOf(HOST, 22_000)?.turn).to.equal(2);
  });

  it('of nothing at all, or of more than any host takes, are bounded by what can be used', () => {
    const subject = new Subject();
    subject.hears(0);
    expect(subject.limits.boundOf(HOST, 0)?.limit).to.include({ perWindow: 0.4, mostPerWindow: 5 });
    subject.hears(1e9, 1, { id: 'large' });
    expect(subject.limits.boundOf({ id: 'large' }, 0)).to.equal(undefined);
  });
});
