/** The pattern: a failure domain is cut off from the store for seconds, and heals. */
import { expect } from 'chai';

import type { DomainHost } from './lapsed-domains.js';
import { LapsedDomains } from './lapsed-domains.js';

const CUT_AT = 10_000;

function hosts(
  count: number,
  missingForMs: number | undefined = undefined,
  fabricDomain = 'd0',
): readonly DomainHost[] {
  return Array.from({ length: count }, () => ({ fabricDomain, missingForMs }));
}

describe('fabric domains without their hosts', () => {
  it('are those that lack most of them, until the last ones have had time to return', () => {
    const lapsed = new LapsedDomains();
    expect([...lapsed.observe(hosts(8, 0), CUT_AT)]).to.deep.equal(['d0']);
    const after = (ms: number): readonly DomainHost[] => [...hosts(6), ...hosts(2, ms)];
    expect(lapsed.observe(after(2_000), CUT_AT + 2_000).has('d0')).to.equal(true);
    expect(lapsed.observe(after(4_400), CUT_AT + 4_400).has('d0')).to.equal(false);
  });

  it('are not those that lose single hosts', () => {
    const lapsed = new LapsedDomains();
    expect(lapsed.observe([...hosts(6), ...hosts(2, 0)], CUT_AT).size).to.equal(0);
    expect(lapsed.observe(hosts(1, 0, 'small'), CUT_AT).size).to.equal(0);
  });

  it('are given up when their hosts stay away', () => {
    const lapsed = new LapsedDomains();
    lapsed.observe(hosts(8, 0), CUT_AT);
    expect(lapsed.observe(hosts(8, 20_000), CUT_AT + 20_000).size).to.equal(0);
  });
});
