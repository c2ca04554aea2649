/** Checks which failure domains plans may use during evacuations and after they end. */
import { expect } from 'chai';

import { silentLog } from '../server/log.js';
import { testHost } from '../testing/groups.js';
import { EvacuationTracker } from './evacuation-tracker.js';

const COLD_MS = 3_000;
const HOSTS = ['a', 'a', 'a', 'b', 'b', 'c'].map((failureDomain, index) =>
  testHost(`h${index}`, { failureDomain }),
);

/** Creates domain uses over a set of evacuated domains that the test changes, and records the lines they log. */
function trackDomains(...initial: string[]): {
  readonly evacuated: Set<string>;
  readonly lines: string[];
  readonly uses: EvacuationTracker;
} {
  const evacuated = new Set(initial);
  const lines: string[] = [];
  const log = {
    ...silentLog(),
    info: (_: string, fields?: Record<string, unknown>) => {
      lines.push(String(fields?.['failureDomains']));
    },
  };
  const isEvacuated = (domain: string): boolean => evacuated.has(domain);
  const uses = new EvacuationTracker({ service: 'lm', isEvacuated, coldMs: () => COLD_MS, log });
  return { evacuated, lines, uses };
}

describe('domain use', () => {
  it('excludes evacuated domains and reports a returning domain for the cold time after the end', () => {
    const { evacuated, uses } = trackDomains();
    expect(uses.observe(HOSTS, 0).isReturning).to.equal(false);
    evacuated.add('b');
    expect([...uses.observe(HOSTS, 100).evacuatedDomains]).to.deep.equal(['b']);
    evacuated.delete('b');
    expect(uses.observe(HOSTS, 8_000)).to.deep.equal({
      evacuatedDomains: new Set(),
      isReturning: true,
    });
    expect(uses.observe(HOSTS, 8_000 + COLD_MS - 1).isReturning).to.equal(true);
    expect(uses.observe(HOSTS, 8_000 + COLD_MS).isReturning).to.equal(false);
  });

  it('tracks two evacuated domains independently', () => {
    const { evacuated, uses } = trackDomains('a', 'b');
    expect(uses.observe(HOSTS, 0).evacuatedDomains.size).to.equal(2);
    evacuated.delete('a');
    expect(uses.observe(HOSTS, 100)).to.deep.equal({
      evacuatedDomains: new Set(['b']),
      isReturning: true,
    });
  });

  it('detects the end of an evacuation while the domain has no hosts', () => {
    const { evacuated, uses } = trackDomains('c');
    uses.observe(HOSTS, 0);
    const others = HOSTS.filter(host => host.failureDomain !== 'c');
    expect([...uses.observe(others, 100).evacuatedDomains]).to.deep.equal(['c']);
    evacuated.delete('c');
    expect(uses.observe(others, 200).isReturning).to.equal(true);
  });

  it('detects a returning domain at the beginning of a term by cold entries, but not by single cold hosts', () => {
    const { uses } = trackDomains();
    const cold = HOSTS.map(host => ({ ...host, coldLeftMs: host.failureDomain === 'a' ? 500 : 0 }));
    expect(uses.observe(cold, 0).isReturning).to.equal(true);
    const one = HOSTS.map(host => ({ ...host, coldLeftMs: host.id === 'h0' ? 500 : 0 }));
    expect(uses.observe(one, 100).isReturning).to.equal(false);
    const evacuated = trackDomains('a').uses;
    expect(evacuated.observe(cold, 0).isReturning, 'cold and still evacuated').to.equal(false);
  });

  it('logs each change once', () => {
    const { evacuated, lines, uses } = trackDomains('a');
    uses.observe(HOSTS, 0);
    uses.observe(HOSTS, 100);
    evacuated.add('b');
    uses.observe(HOSTS, 200);
    evacuated.clear();
    uses.observe(HOSTS, 300);
    uses.observe(HOSTS, 400);
    expect(lines).to.deep.equal(['a', 'a,b', '']);
  });
});
