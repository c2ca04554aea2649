import { expect } from 'chai';

import type { MemberView } from '../peers/membership.js';
import { MEMBERS_SETTLE_MS } from '../rate-limits/paced-sends.js';
import { topMembers } from '../routing/rendezvous.js';
import { Counters } from '../server/metrics.js';
import { testHost } from '../testing/groups.js';
import type { ColdPeriod } from './cold-hosts.js';
import { ColdSends } from './cold-sends.js';

const HOST = testHost('cold');
const UNLIMITED_PERIOD: ColdPeriod = { since: 1_000, until: Infinity };
const NAMES = Array.from({ length: 90 }, (_, index) => `entry-${index}`);
const [OWNER = ''] = topMembers(NAMES, HOST.id, 1);
const INTERVAL_MS = 1_050;

/** What differs from the defaults of a test. */
type TestOptions = {
  readonly self?: string;
  readonly view?: () => MemberView | undefined;
  readonly coldPeriod?: ColdPeriod | undefined;
  readonly hasSlowStart?: boolean;
};

const SETTLED: MemberView = { names: NAMES, since: -60_000 };

function coldSends(options: TestOptions = {}): {
  readonly sends: ColdSends;
  readonly counters: Counters;
} {
  const counters = new Counters();
  const { hasSlowStart = true, self = OWNER } = options;
  const sends = new ColdSends({
    self,
    members: 'view' in options ? options.view : () => SETTLED,
    coldPeriodOf: () => ('coldPeriod' in options ? options.coldPeriod : UNLIMITED_PERIOD),
    slowStartOf: () => (hasSlowStart ? { requestsPerSecond: 14, coldMs: 3_000 } : undefined),
    bounds: () => ({ coldOvershoot: 1.5, coldSlack: 5 }),
    counters,
  });
  return { sends, counters };
}

describe('requests to cold hosts', () => {
  it('are not limited without slow start, nor to warm hosts, and use no allowance', () => {
    for (const options of [{ hasSlowStart: false }, { coldPeriod: undefined }]) {
      const { sends, counters } = coldSends(options);
      const allowed = Array.from({ length: 1_000 }, () => sends.take(HOST, 1_000));
      expect(allowed).to.not.include(false);
      expect(counters.text()).to.equal('');
    }
  });

  it('are paced by an owner, from one interval after the host became cold', () => {
    const { sends, counters } = coldSends();
    expect(sends.take(HOST, 1_001)).to.equal(false);
    expect(sends.nextRoomInMs(HOST, 1_001)).to.equal(INTERVAL_MS - 1);
    expect(sends.hasRoom(HOST, 1_000 + INTERVAL_MS)).to.equal(true);
    expect(sends.take(HOST, 1_000 + INTERVAL_MS)).to.equal(true);
    expect(sends.take(HOST, 1_001 + INTERVAL_MS)).to.equal(false);
    // Allowances do not accumulate in an idle period.
    expect(sends.take(HOST, 60_000)).to.equal(true);
    expect(sends.take(HOST, 60_001)).to.equal(false);
    expect(counters.value('cold_sends_total', { service: 'lm' })).to.equal(2);
  });

  it('are sent only by the owners', () => {
    const owners = NAMES.filter(self => coldSends({ self }).sends.hasRoom(HOST, 30_000));
    expect(owners).to.have.members([...topMembers(NAMES, HOST.id, 14)]);
    const other = NAMES.find(name => !owners.includes(name)) ?? '';
    expect(coldSends({ self: other }).sends.nextRoomInMs(HOST, 30_000)).to.equal(Infinity);
  });

  it('are not sent by an entry host that does not know the members yet', () => {
    const { sends } = coldSends({ view: () => undefined });
    expect(sends.nextRoomInMs(HOST, 30_000)).to.equal(Infinity);
  });

  it('are all sent by an entry host without peers', () => {
    const { sends } = coldSends({ view: undefined });
    let sent = 0;
    for (let now = 2_000; now < 12_000; now += 1) {
      sent += Number(sends.take(HOST, now));
    }
    expect(sent).to.be.within(130, 140);
  });

  it('wait for the former owners whenever this entry host becomes an owner', () => {
    let view: MemberView = { names: NAMES, since: 5_000 };
    const { sends } = coldSends({ view: () => view });
    expect(sends.nextRoomInMs(HOST, 5_000)).to.equal(MEMBERS_SETTLE_MS + INTERVAL_MS);
    expect(sends.take(HOST, 5_000 + MEMBERS_SETTLE_MS + INTERVAL_MS)).to.equal(true);
    // An entry host that remains an owner sends again one interval after the change.
    view = { names: [...NAMES, 'entry-new'], since: 20_000 };
    expect(sends.nextRoomInMs(HOST, 20_000)).to.equal(INTERVAL_MS);
  });

  it('start with a new interval in each cold period of a host', () => {
    let coldPeriod: ColdPeriod = { since: 1_000, until: 4_000 };
    const { sends } = coldSends({
      get coldPeriod() {
        return coldPeriod;
      },
    });
    expect(sends.take(HOST, 3_000)).to.equal(true);
    coldPeriod = { since: 9_000, until: 12_000 };
    expect(sends.nextRoomInMs(HOST, 9_000)).to.equal(INTERVAL_MS);
  });
});
