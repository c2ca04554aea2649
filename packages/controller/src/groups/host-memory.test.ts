/** Guards against taking an observer's own suspension, or a silence of the whole network, for the loss of all hosts. */
import type { Host, HostFact, HostStateReport } from '@hingescale/core';
import type { HostObservation } from '@hingescale/upstream';
import { expect } from 'chai';

import { HostMemory } from './host-memory.js';

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

describe('what a controller concludes from the silence of hosts', () => {
  let now: number;
  let resumedAt: number;
  let memory: HostMemory;
  let observations: Map<string, HostObservation>;

  beforeEach(() => {
    now = 0;
    resumedAt = -Infinity;
    memory = new HostMemory({ silentAfterMs: SILENT_AFTER_MS, resumedAt: () => resumedAt });
    observations = new Map();
    listen(3_000);
  });

  function answer(hosts: readonly Host[]): void {
    for (const { id } of hosts) {
      observations.set(id, { report: REPORT, probeSentAt: now });
    }
  }

  function facts(): HostFact[] {
    return [...memory.facts(HOSTS, observations, now).values()];
  }

  /** Lets time pass while some hosts answer each probe; gives all facts of that time. */
  function listen(ms: number, answering: readonly Host[] = HOSTS): HostFact[] {
    const seen: HostFact[] = [];
    for (const until = now + ms; now < until; now += PROBE_MS) {
      answer(answering);
      seen.push(...facts());
    }
    return seen;
  }

  function missing(seen: readonly HostFact[]): string[] {
    return seen.filter(fact => fact.isMissing).map(fact => fact.host.id);
  }

  it('misses one that is silent while others answer', () => {
    const [lost, ...others] = HOSTS;
    expect(new Set(missing(listen(2_000, others)))).to.deep.equal(new Set([lost.id]));
    expect(listen(PROBE_MS, others)[0].losses).to.equal(1);
  });

  it('misses none when it was suspended itself, until they had the time to answer', () => {
    now += 2_500;
    resumedAt = now;
    expect(missing(facts())).to.deep.equal([]);
    expect(missing(listen(SILENT_AFTER_MS, HOSTS.slice(1)))).to.deep.equal([]);
    expect(new Set(missing(listen(1_000, HOSTS.slice(1))))).to.deep.equal(new Set(['h0']));
  });

  it('misses none while all are silent, nor the last ones that are heard again', () => {
    expect(missing(listen(20_000, []))).to.deep.equal([]);
    expect(missing(listen(SILENT_AFTER_MS, HOSTS.slice(0, 1)))).to.deep.equal([]);
    expect(facts().every(fact => fact.silentMs === 0 || fact.mayReturn)).to.equal(true);
    expect(missing(listen(PROBE_MS, HOSTS))).to.deep.equal([]);
    expect(facts().map(fact => fact.losses)).to.deep.equal(HOSTS.map(() => 0));
  });

  it('goes on missing a host that was missing before all fell silent, as one loss', () => {
    const [, ...others] = HOSTS;
    listen(3_000, others);
    listen(5_000, []);
    expect(missing(listen(SILENT_AFTER_MS, others))).to.include('h0');
    listen(3_000, others);
    expect(facts()[0].losses).to.equal(1);
  });

  it('waits for the last hosts of a fabric domain that was silent as a whole', () => {
    const [first, ...rest] = HOSTS.filter(host => host.fabricDomain === 'f1');
    const other = HOSTS.filter(host => host.fabricDomain === 'f2');
    expect(new Set(missing(listen(20_000, other)))).to.deep.equal(
      new Set([first, ...rest].map(host => host.id)),
    );
    listen(PROBE_MS, [...other, first]);
    const waiting = facts().filter(fact => fact.silentMs > 0);
    expect(waiting.map(fact => fact.mayReturn)).to.deep.equal(rest.map(() => true));
    listen(2_000, [...other, first]);
    expect(facts().some(fact => fact.mayReturn)).to.equal(false);
  });
});
