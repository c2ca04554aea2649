/** The pattern: a failure domain is cut off from the store for seconds, and heals. */
import { expect } from 'chai';

import type { DepartedHost, HostEntry } from '../hosts/host-entry.js';
import { testHost } from '../testing/groups.js';
import { LapsedDomains } from './lapsed-domains.js';

const CUT_AT = 10_000;
const HOSTS = Array.from({ length: 8 }, (_, index) => testHost(`h${index}`));

function departed(hosts: readonly HostEntry[], since = CUT_AT): readonly DepartedHost[] {
  return hosts.map(entry => ({ entry, since }));
}

describe('fabric domains without their entries', () => {
  it('are those that lack most of them, until the last ones have had time to return', () => {
    const lapsed = new LapsedDomains();
    expect([...lapsed.observe([], departed(HOSTS), CUT_AT)]).to.deep.equal(['d0']);
    const back = HOSTS.slice(0, 6);
    const missing = departed(HOSTS.slice(6));
    expect(lapsed.observe(back, missing, CUT_AT + 2_000).has('d0')).to.equal(true);
    expect(lapsed.observe(back, missing, CUT_AT + 4_400).has('d0')).to.equal(false);
  });

  it('are not those that lose single hosts', () => {
    const lapsed = new LapsedDomains();
    const missing = departed(HOSTS.slice(0, 2));
    expect(lapsed.observe(HOSTS.slice(2), missing, CUT_AT).size).to.equal(0);
    const pair = [testHost('x', { fabricDomain: 'small' })];
    expect(lapsed.observe([], departed(pair), CUT_AT).size).to.equal(0);
  });

  it('are given up when their hosts stay away', () => {
    const lapsed = new LapsedDomains();
    lapsed.observe([], departed(HOSTS), CUT_AT);
    expect(lapsed.observe([], departed(HOSTS), CUT_AT + 20_000).size).to.equal(0);
  });
});
