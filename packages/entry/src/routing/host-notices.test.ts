import { expect } from 'chai';
import fc from 'fast-check';

import type { HostIncarnation } from '../hosts/host-entry.js';
import { silentLog } from '../server/log.js';
import { Counters, Gauges } from '../server/metrics.js';
import { HostNotices, MOST_BACKOFF_MS, MOST_SPREAD_MS, SPREAD_PART } from './host-notices.js';

const HOST: HostIncarnation = { id: 'h', startedAt: 1 };

class Subject {
  now = 0;
  readonly left: string[] = [];
  readonly counters = new Counters();
  readonly notices: HostNotices;

  constructor(random: () => number = () => 0) {
    this.notices = new HostNotices({
      leaves: ({ id }) => this.left.push(id),
      reported: () => undefined,
      log: silentLog(),
      counters: this.counters,
      gauges: new Gauges(),
      now: () => this.now,
      random,
    });
  }

  ask(backoffMs: number, host = HOST): void {
    this.notices.hear(host, { backoffMs, isLeaving: false });
  }

  leftMs(host = HOST): number {
    return this.notices.backoffLeftMs(host, this.now);
  }
}

describe('what hosts have said about themselves', () => {
  it('holds for as long as was asked, and for one start of the host', () => {
    const subject = new Subject();
    subject.ask(3_000);
    expect(subject.leftMs()).to.equal(3_000);
    expect(subject.leftMs({ id: 'h', startedAt: 2 })).to.equal(0);
    expect(subject.leftMs({ id: 'other', startedAt: 1 })).to.equal(0);
    expect(subject.notices.backingOff).to.equal(1);
    subject.now = 3_000;
    expect(subject.leftMs()).to.equal(0);
    expect(subject.notices.backingOff).to.equal(0);
  });

  it('is not taken back by an answer that says nothing', () => {
    const subject = new Subject();
    subject.ask(3_000);
    subject.notices.hear(HOST, { backoffMs: 0, isLeaving: false });
    expect(subject.leftMs()).to.equal(3_000);
  });

  it('is believed for ten minutes at most', () => {
    const subject = new Subject(() => 0.999);
    subject.ask(1e12);
    expect(subject.leftMs()).to.be.at.most(MOST_BACKOFF_MS + MOST_SPREAD_MS);
  });

  it('is told once when a host leaves', () => {
    const subject = new Subject();
    const leaving = { backoffMs: 0, isLeaving: true };
    subject.notices.hear(HOST, leaving);
    subject.notices.hear(HOST, leaving);
    subject.notices.hear({ ...HOST, startedAt: 2 }, leaving);
    expect(subject.left).to.deep.equal(['h', 'h']);
    expect(subject.counters.text()).to.contain('hosts_leaving_total 2');
  });

  it('takes bounded memory, however many hosts come and go', () => {
    const subject = new Subject();
    for (let index = 0; index < 10_000; index++) {
      subject.ask(1_000, { id: `h${index}`, startedAt: index });
    }
    expect(subject.notices.backingOff).to.be.at.most(4_096);
    expect(subject.leftMs({ id: 'h9999', startedAt: 9_999 })).to.equal(1_000);
  });

  it('never ends before the latest time asked for, nor much later', () => {
    const asks = fc.array(
      fc.record({ afterMs: fc.nat(2_000), forMs: fc.integer({ min: 1, max: 8_000 }) }),
      { minLength: 1, maxLength: 12 },
    );
    const check = (list: readonly { afterMs: number; forMs: number }[], draw: number): void => {
      const subject = new Subject(() => draw);
      let end = 0;
      let latestEnd = 0;
      for (const { afterMs, forMs } of list) {
        subject.now += afterMs;
        subject.ask(forMs);
        end = Math.max(end, subject.now + forMs);
        const spreadMs = Math.min(forMs * SPREAD_PART, MOST_SPREAD_MS);
        latestEnd = Math.max(latestEnd, subject.now + forMs + spreadMs);
        expect(subject.now + subject.leftMs()).to.be.within(end, latestEnd + 1e-6);
      }
    };
    fc.assert(fc.property(asks, fc.double({ min: 0, max: 0.999, noNaN: true }), check));
  });

  it('that they leave, is told to other entry hosts once, and heard from them as from the host', () => {
    const [told, other] = [new Subject(), new Subject()];
    told.notices.hear(HOST, { backoffMs: 0, isLeaving: true });
    expect(told.notices.since(0)).to.deep.equal([HOST]);
    expect(told.notices.since(told.notices.sequence)).to.deep.equal([]);
    other.notices.takeLeaving(told.notices.since(0));
    other.notices.takeLeaving(told.notices.since(0));
    expect(other.left).to.deep.equal(['h']);
    told.now = 700_000;
    expect(told.notices.since(0)).to.deep.equal([]);
  });
});
