import { expect } from 'chai';

import type { MemberView } from '../peers/membership.js';
import { MEMBERS_SETTLE_MS } from '../rate-limits/paced-sends.js';
import { topMembers } from '../routing/rendezvous.js';
import { Counters } from '../server/metrics.js';
import { testHost } from '../testing/groups.js';
import type { ColdSpell } from './cold-hosts.js';
import { ColdSends } from './cold-sends.js';

const HOST = testHost('cold');
const FOREVER: ColdSpell = { since: 1_000, until: Infinity };
const NAMES = Array.from({ length: 90 }, (_, at) => `entry-${at}`);
const [OWNER = ''] = topMembers(NAMES, HOST.id, 1);
const INTERVAL_MS = 1_050;

type Given = {
  readonly self?: string;
  readonly view?: () => MemberView | undefined;
  readonly spell?: ColdSpell | undefined;
  readonly hasSlowStart?: boolean;
};

const SETTLED: MemberView = { names: NAMES, since: -60_000 };

function coldSends(given: Given = {}): { readonly sends: ColdSends; readonly counters: Counters } {
  const counters = new Counters();
  const { hasSlowStart = true, self = OWNER } = given;
  const sends = new ColdSends({
    self,
    members: 'view' in given ? given.view : () => SETTLED,
    spellOf: () => ('spell' in given ? given.spell : FOREVER),
    slowStartOf: () => (hasSlowStart ? { requestsPerSecond: 14, coldMs: 3_000 } : undefined),
    bounds: () => ({ coldOvershoot: 1.5, coldSlack: 5 }),
    counters,
  });
  return { sends, counters };
}

describe('sends to cold hosts', () => {
  it('are not limited without slow start, nor to warm hosts, and take no allowance', () => {
    for (const given of [{ hasSlowStart: false }, { spell: undefined }]) {
      const { sends, counters } = coldSends(given);
      const allowed = Array.from({ length: 1_000 }, () => sends.take(HOST, 1_000));
      expect(allowed).to.not.include(false);
      expect(counters.text()).to.equal('');
    }
  });

  it('are paced by an owner, from one interval after the host was cold', () => {
    const { sends, counters } = coldSends();
    expect(sends.take(HOST, 1_001)).to.equal(false);
    expect(sends.nextRoomInMs(HOST, 1_001)).to.equal(INTERVAL_MS - 1);
    expect(sends.hasRoom(HOST, 1_000 + INTERVAL_MS)).to.equal(true);
    expect(sends.take(HOST, 1_000 + INTERVAL_MS)).to.equal(true);
    expect(sends.take(HOST, 1_001 + INTERVAL_MS)).to.equal(false);
    // An idle period does not save up allowances.
    expect(sends.take(HOST, 60_000)).to.equal(true);
    expect(sends.take(HOST, 60_001)).to.equal(false);
    expect(counters.value('cold_sends_total', { service: 'lm' })).to.equal(2);
  });

  it('are made by the owners alone', () => {
    const owners = NAMES.filter(self => coldSends({ self }).sends.hasRoom(HOST, 30_000));
    expect(owners).to.have.members([...topMembers(NAMES, HOST.id, 14)]);
    const other = NAMES.find(name => !owners.includes(name)) ?? '';
    expect(coldSends({ self: other }).sends.nextRoomInMs(HOST, 30_000)).to.equal(Infinity);
  });

  it('are not made by a host that does not know the members yet', () => {
    const { sends } = coldSends({ view: () => undefined });
    expect(sends.nextRoomInMs(HOST, 30_000)).to.equal(Infinity);
  });

  it('may be all by a host without peers', () => {
    const { sends } = coldSends({ view: undefined });
    let sent = 0;
    for (let now = 2_000; now < 12_000; now += 1) {
      sent += Number(sends.take(HOST, now));
    }
    expect(sent).to.be.within(130, 140);
  });

  it('wait for the others whenever this host becomes an owner', () => {
    let view: MemberView = { names: NAMES, since: 5_000 };
    const { sends } = coldSends({ view: () => view });
    expect(sends.nextRoomInMs(HOST, 5_000)).to.equal(MEMBERS_SETTLE_MS + INTERVAL_MS);
    expect(sends.take(HOST, 5_000 + MEMBERS_SETTLE_MS + INTERVAL_MS)).to.equal(true);
    // A host that stays an owner sends again one interval after the change.
    view = { names: [...NAMES, 'entry-new'], since: 20_000 };
    expect(sends.nextRoomInMs(HOST, 20_000)).to.equal(INTERVAL_MS);
  });

  it('start anew with each time that a host is cold', () => {
    let spell: ColdSpell = { since: 1_000, until: 4_000 };
    const { sends } = coldSends({
      get spell() {
        return spell;
      },
    });
    expect(sends.take(HOST, 3_000)).to.equal(true);
    spell = { since: 9_000, until: 12_000 };
    expect(sends.nextRoomInMs(HOST, 9_000)).to.equal(INTERVAL_MS);
  });
});
