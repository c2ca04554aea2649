import { expect } from 'chai';

import type { HostIncarnation } from '../hosts/host-entry.js';
import type { LogFields } from '../server/log.js';
import { silentLog } from '../server/log.js';
import { Counters, Gauges } from '../server/metrics.js';
import { NamedLimits } from './named-limits.js';

const HOST: HostIncarnation = { id: 'h', startedAt: 1 };

class Subject {
  now = 0;
  readonly lines: LogFields[] = [];
  readonly counters = new Counters();
  readonly limits = new NamedLimits({
    log: { ...silentLog(), info: (message, fields) => this.lines.push({ message, ...fields }) },
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
    expect(subject.lines).to.deep.equal([
      { message: 'host names a limit', host: 'h', perSecond: 1.5 },
      { message: 'host names no limit any more', host: 'h', forMs: 8_000, sent: 1 },
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
});
