import { expect } from 'chai';
import fc from 'fast-check';

import type { HostIncarnation } from '../hosts/host-entry.js';
import { silentLog } from '../server/log.js';
import { Counters, Gauges } from '../server/metrics.js';
import { HostNotices, JITTER_PART, MAX_BACKOFF_MS, MAX_JITTER_MS } from './host-notices.js';

const HOST: HostIncarnation = { id: 'h', startedAt: 1 };

/** Host notices with a clock that the test sets. */
class TestNotices {
  now = 0;
  readonly leaving: string[] = [];
  readonly counters = new Counters();
  readonly notices: HostNotices;

  constructor(random: () => number = () => 0) {
    this.notices = new HostNotices({
      onHostLeaving: ({ id }) => this.leaving.push(id),
      onReportNeeded: () => undefined,
      log: silentLog(),
      counters: this.counters,
      gauges: new Gauges(),
      now: () => this.now,
      random,
    });
  }

  addBackoff(backoffMs: number, host = HOST): void {
    this.notices.receive(host, { backoffMs, isLeaving: false });
  }

  leftMs(host = HOST): number {
    return this.notices.backoffLeftMs(host, this.now);
  }
}

describe('host notices', () => {
  it('apply a backoff for as long as the host asked, and to one incarnation only', () => {
    const fixture = new TestNotices();
    fixture.addBackoff(3_000);
    expect(fixture.leftMs()).to.equal(3_000);
    expect(fixture.leftMs({ id: 'h', startedAt: 2 })).to.equal(0);
    expect(fixture.leftMs({ id: 'other', startedAt: 1 })).to.equal(0);
    expect(fixture.notices.backingOffCount).to.equal(1);
    fixture.now = 3_000;
    expect(fixture.leftMs()).to.equal(0);
    expect(fixture.notices.backingOffCount).to.equal(0);
  });

  it('keep a backoff when a later answer contains no notice', () => {
    const fixture = new TestNotices();
    fixture.addBackoff(3_000);
    fixture.notices.receive(HOST, { backoffMs: 0, isLeaving: false });
    expect(fixture.leftMs()).to.equal(3_000);
  });

  it('limit a backoff to ten minutes', () => {
    const fixture = new TestNotices(() => 0.999);
    fixture.addBackoff(1e12);
    expect(fixture.leftMs()).to.be.at.most(MAX_BACKOFF_MS + MAX_JITTER_MS);
  });

  it('report a leaving host once for each incarnation', () => {
    const fixture = new TestNotices();
    const notice = { backoffMs: 0, isLeaving: true };
    fixture.notices.receive(HOST, notice);
    fixture.notices.receive(HOST, notice);
    fixture.notices.receive({ ...HOST, startedAt: 2 }, notice);
    expect(fixture.leaving).to.deep.equal(['h', 'h']);
    expect(fixture.counters.text()).to.contain('hosts_leaving_total 2');
  });

  it('take bounded memory, however many hosts are added and removed', () => {
    const fixture = new TestNotices();
    for (let index = 0; index < 10_000; index++) {
      fixture.addBackoff(1_000, { id: `h${index}`, startedAt: index });
    }
    expect(fixture.notices.backingOffCount).to.be.at.most(4_096);
    expect(fixture.leftMs({ id: 'h9999', startedAt: 9_999 })).to.equal(1_000);
  });

  it('end a backoff not before the latest time asked for, nor much later', () => {
    const backoffLists = fc.array(
      fc.record({ afterMs: fc.nat(2_000), forMs: fc.integer({ min: 1, max: 8_000 }) }),
      { minLength: 1, maxLength: 12 },
    );
    const check = (
      backoffs: readonly { afterMs: number; forMs: number }[],
      randomValue: number,
    ): void => {
      const fixture = new TestNotices(() => randomValue);
      let end = 0;
      let latestEnd = 0;
      for (const { afterMs, forMs } of backoffs) {
        fixture.now += afterMs;
        fixture.addBackoff(forMs);
        end = Math.max(end, fixture.now + forMs);
        const spreadMs = Math.min(forMs * JITTER_PART, MAX_JITTER_MS);
        latestEnd = Math.max(latestEnd, fixture.now + forMs + spreadMs);
        expect(fixture.now + fixture.leftMs()).to.be.within(end, latestEnd + 1e-6);
      }
    };
    fc.assert(fc.property(backoffLists, fc.double({ min: 0, max: 0.999, noNaN: true }), check));
  });

  it('report a leaving host to a peer once, and apply a report from a peer as from the host', () => {
    const [reporting, peer] = [new TestNotices(), new TestNotices()];
    reporting.notices.receive(HOST, { backoffMs: 0, isLeaving: true });
    expect(reporting.notices.since(0)).to.deep.equal([HOST]);
    expect(reporting.notices.since(reporting.notices.sequence)).to.deep.equal([]);
    peer.notices.receiveLeaving(reporting.notices.since(0));
    peer.notices.receiveLeaving(reporting.notices.since(0));
    expect(peer.leaving).to.deep.equal(['h']);
    reporting.now = 700_000;
    expect(reporting.notices.since(0)).to.deep.equal([]);
  });
});
