/** Guards against reporting all hosts as lost when the observer was suspended or the whole network was silent. */
import type { Host, HostSnapshot, HostStateReport } from '@hingescale/core';
import type { HostObservation } from '@hingescale/upstream';
import { expect } from 'chai';

import { HostTracker } from './host-tracker.js';

const SILENT_AFTER_MS = 1_500;
const PROBE_MS = 250;
const FABRICS = ['f1', 'f2'];

const HOSTS: readonly Host[] = Array.from({ length: 8 }, (_, index) => ({
  id: `h${index}`,
  failureDomain: 'd',
  fabricDomain: FABRICS[index % 2],
  address: '',
  accelerators: 8,
  upstream: 'engine',
  state: 'live',
}));

const REPORT = { incarnation: 'i', group: null } as unknown as HostStateReport;

describe('detection of missing hosts from their silence', () => {
  let now: number;
  let resumedAt: number;
  let memory: HostTracker;
  let observations: Map<string, HostObservation>;

  beforeEach(() => {
    now = 0;
    resumedAt = -Infinity;
    memory = new HostTracker({ silentAfterMs: SILENT_AFTER_MS, resumedAt: () => resumedAt });
    observations = new Map();
    advance(3_000);
  });

  function answer(hosts: readonly Host[]): void {
    for (const { id } of hosts) {
      observations.set(id, { report: REPORT, probeSentAt: now });
    }
  }

  function facts(): HostSnapshot[] {
    return [...memory.facts(HOSTS, observations, now).values()];
  }

  /** Advances the time while some hosts answer each probe; returns all facts of that time. */
  function advance(ms: number, answering: readonly Host[] = HOSTS): HostSnapshot[] {
    const observed: HostSnapshot[] = [];
    for (const until = now + ms; now < until; now += PROBE_MS) {
      answer(answering);
      observed.push(...facts());
    }
    return observed;
  }

  function missingIds(observed: readonly HostSnapshot[]): string[] {
    return observed.filter(fact => fact.isMissing).map(fact => fact.host.id);
  }

  it('reports a host as missing that is silent while others answer', () => {
    const [lost, ...others] = HOSTS;
    expect(new Set(missingIds(advance(2_000, others)))).to.deep.equal(new Set([lost.id]));
    expect(advance(PROBE_MS, others)[0].losses).to.equal(1);
  });

  it('reports no host as missing after its own suspension until the hosts had time to answer', () => {
    now += 2_500;
    resumedAt = now;
    expect(missingIds(facts())).to.deep.equal([]);
    expect(missingIds(advance(SILENT_AFTER_MS, HOSTS.slice(1)))).to.deep.equal([]);
    expect(new Set(missingIds(advance(1_000, HOSTS.slice(1))))).to.deep.equal(new Set(['h0']));
  });

  it('reports no host as missing while all are silent, nor those that answer last afterwards', () => {
    expect(missingIds(advance(20_000, []))).to.deep.equal([]);
    expect(missingIds(advance(SILENT_AFTER_MS, HOSTS.slice(0, 1)))).to.deep.equal([]);
    expect(facts().every(fact => fact.silentMs === 0 || fact.mayReturn)).to.equal(true);
    expect(missingIds(advance(PROBE_MS, HOSTS))).to.deep.equal([]);
    expect(facts().map(fact => fact.losses)).to.deep.equal(HOSTS.map(() => 0));
  });

  it('keeps a host as missing that was missing before all fell silent, and counts one loss', () => {
    const [, ...others] = HOSTS;
    advance(3_000, others);
    advance(5_000, []);
    expect(missingIds(advance(SILENT_AFTER_MS, others))).to.include('h0');
    advance(3_000, others);
    expect(facts()[0].losses).to.equal(1);
  });

  it('waits for the last hosts of a fabric domain after the whole domain was silent', () => {
    const [first, ...rest] = HOSTS.filter(host => host.fabricDomain === 'f1');
    const other = HOSTS.filter(host => host.fabricDomain === 'f2');
    expect(new Set(missingIds(advance(20_000, other)))).to.deep.equal(
      new Set([first, ...rest].map(host => host.id)),
    );
    advance(PROBE_MS, [...other, first]);
    const waiting = facts().filter(fact => fact.silentMs > 0);
    expect(waiting.map(fact => fact.mayReturn)).to.deep.equal(rest.map(() => true));
    advance(2_000, [...other, first]);
    expect(facts().some(fact => fact.mayReturn)).to.equal(false);
  });
});
