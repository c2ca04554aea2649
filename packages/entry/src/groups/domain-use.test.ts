/** What plans are told of failure domains that are evacuated and taken back. */
import { expect } from 'chai';

import { silentLog } from '../server/log.js';
import { testHost } from '../testing/groups.js';
import { DomainUses } from './domain-use.js';

const COLD_MS = 3_000;
const HOSTS = ['a', 'a', 'a', 'b', 'b', 'c'].map((failureDomain, index) =>
  testHost(`h${index}`, { failureDomain }),
);

/** Domain uses over a set of evacuated domains that the test changes, with the lines they log. */
function follow(...evacuated: string[]): {
  readonly now: Set<string>;
  readonly lines: string[];
  readonly uses: DomainUses;
} {
  const now = new Set(evacuated);
  const lines: string[] = [];
  const log = {
    ...silentLog(),
    info: (_: string, fields?: Record<string, unknown>) => {
      lines.push(String(fields?.['failureDomains']));
    },
  };
  const isEvacuated = (domain: string): boolean => now.has(domain);
  const uses = new DomainUses({ service: 'lm', isEvacuated, coldMs: () => COLD_MS, log });
  return { now, lines, uses };
}

describe('domain uses', () => {
  it('leave out what is evacuated and hold for the cold time after its end', () => {
    const { now, uses } = follow();
    expect(uses.observe(HOSTS, 0).isReturning).to.equal(false);
    now.add('b');
    expect([...uses.observe(HOSTS, 100).evacuatedDomains]).to.deep.equal(['b']);
    now.delete('b');
    expect(uses.observe(HOSTS, 8_000)).to.deep.equal({
      evacuatedDomains: new Set(),
      isReturning: true,
    });
    expect(uses.observe(HOSTS, 8_000 + COLD_MS - 1).isReturning).to.equal(true);
    expect(uses.observe(HOSTS, 8_000 + COLD_MS).isReturning).to.equal(false);
  });

  it('follow two domains, each on its own', () => {
    const { now, uses } = follow('a', 'b');
    expect(uses.observe(HOSTS, 0).evacuatedDomains.size).to.equal(2);
    now.delete('a');
    expect(uses.observe(HOSTS, 100)).to.deep.equal({
      evacuatedDomains: new Set(['b']),
      isReturning: true,
    });
  });

  it('notice the end of an evacuation while the domain shows no hosts', () => {
    const { now, uses } = follow('c');
    uses.observe(HOSTS, 0);
    const others = HOSTS.filter(host => host.failureDomain !== 'c');
    expect([...uses.observe(others, 100).evacuatedDomains]).to.deep.equal(['c']);
    now.delete('c');
    expect(uses.observe(others, 200).isReturning).to.equal(true);
  });

  it('tell a new leader by the entries that a whole domain is cold, single hosts apart', () => {
    const { uses } = follow();
    const cold = HOSTS.map(host => ({ ...host, coldLeftMs: host.failureDomain === 'a' ? 500 : 0 }));
    expect(uses.observe(cold, 0).isReturning).to.equal(true);
    const one = HOSTS.map(host => ({ ...host, coldLeftMs: host.id === 'h0' ? 500 : 0 }));
    expect(uses.observe(one, 100).isReturning).to.equal(false);
    const evacuated = follow('a').uses;
    expect(evacuated.observe(cold, 0).isReturning, 'cold and still evacuated').to.equal(false);
  });

  it('log each change once', () => {
    const { now, lines, uses } = follow('a');
    uses.observe(HOSTS, 0);
    uses.observe(HOSTS, 100);
    now.add('b');
    uses.observe(HOSTS, 200);
    now.clear();
    uses.observe(HOSTS, 300);
    uses.observe(HOSTS, 400);
    expect(lines).to.deep.equal(['a', 'a,b', '']);
  });
});
