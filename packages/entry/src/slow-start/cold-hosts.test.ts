import { expect } from 'chai';

import type { HostEntry } from '../hosts/host-entry.js';
import type { AppliedEntry } from '../hosts/host-registry.js';
import type { Log } from '../server/log.js';
import { silentLog } from '../server/log.js';
import { testHost } from '../testing/groups.js';
import { ColdHosts } from './cold-hosts.js';

const COLD_MS = 3_000;
const HEARTBEAT_MS = 1_200;
/** Time for which a host counts as cold whose entry does not say so, in milliseconds. */
const ASSUMED_MS = COLD_MS + HEARTBEAT_MS;

describe('cold hosts', () => {
  let revision = 0;

  function coldHosts(log: Log = silentLog()): ColdHosts {
    return new ColdHosts({
      slowStartOf: service =>
        service === 'lm' ? { requestsPerSecond: 14, coldMs: COLD_MS } : undefined,
      heartbeatMs: () => HEARTBEAT_MS,
      log,
    });
  }

  function taken(entry: HostEntry, standing: AppliedEntry['standing']): AppliedEntry {
    revision += 1;
    return { entry, revision, standing };
  }

  // A log that keeps its lines of level info.
  function logTo(lines: string[]): Log {
    const info = (message: string, fields?: object): void => {
      lines.push(`${message} ${JSON.stringify(fields)}`);
    };
    return { ...silentLog(), info };
  }

  it('are cold for as long as their entry says, from when it was received', () => {
    const hosts = coldHosts();
    const host = testHost('x', { coldLeftMs: 2_000 });
    hosts.applyBatch({ applied: [taken(host, 'new')], departed: [] }, 100);
    expect(hosts.coldPeriodOf(host, 2_099)).to.deep.equal({ since: 100, until: 2_100 });
    expect(hosts.coldPeriodOf(host, 2_100)).to.equal(undefined);
    expect(hosts.count(200)).to.equal(1);
    expect(hosts.count(2_100)).to.equal(0);
  });

  it('follow each later entry, also one that makes a warm host cold again', () => {
    const hosts = coldHosts();
    const host = testHost('x', { coldLeftMs: 3_000 });
    hosts.applyBatch({ applied: [taken(host, 'new')], departed: [] }, 0);
    const later = testHost('x', { coldLeftMs: 2_500 });
    hosts.applyBatch({ applied: [taken(later, 'known')], departed: [] }, 1_000);
    expect(hosts.coldPeriodOf(later, 1_500)).to.deep.equal({ since: 0, until: 3_500 });
    const warm = testHost('x');
    hosts.applyBatch({ applied: [taken(warm, 'known')], departed: [] }, 2_000);
    expect(hosts.coldPeriodOf(warm, 2_001)).to.equal(undefined);
    const again = testHost('x', { coldLeftMs: 1_000 });
    hosts.applyBatch({ applied: [taken(again, 'known')], departed: [] }, 9_000);
    expect(hosts.coldPeriodOf(again, 9_500)).to.deep.equal({ since: 9_000, until: 10_000 });
  });

  it('are none among the hosts of the first list, nor where hosts are added and removed one by one', () => {
    const hosts = coldHosts();
    const firstHosts = ['a', 'b', 'c'].map(id => testHost(id));
    hosts.applyBatch({ applied: firstHosts.map(entry => taken(entry, 'first')), departed: [] }, 0);
    const next = testHost('d');
    hosts.applyBatch({ applied: [taken(next, 'new')], departed: firstHosts.slice(0, 1) }, 50);
    expect(hosts.count(60)).to.equal(0);
  });

  it('are none in a service that takes its full rate from the start', () => {
    const hosts = coldHosts();
    const host = testHost('x', { service: 'plain', coldLeftMs: 5_000 });
    hosts.applyBatch({ applied: [taken(host, 'new')], departed: [] }, 0);
    hosts.noteEvacuationEnd('a', 99, 0);
    expect(hosts.coldPeriodOf(host, 1)).to.equal(undefined);
  });

  it('are those of a failure domain that was empty before, until their next entry', () => {
    const hosts = coldHosts();
    const old = testHost('old');
    hosts.applyBatch({ applied: [taken(old, 'first')], departed: [] }, 0);
    hosts.applyBatch({ applied: [], departed: [old] }, 1_000);
    const [one, two] = [testHost('one'), testHost('two')];
    hosts.applyBatch({ applied: [taken(one, 'new')], departed: [] }, 20_000);
    hosts.applyBatch({ applied: [taken(two, 'new')], departed: [] }, 21_000);
    expect(hosts.coldPeriodOf(one, 20_001)).to.deep.equal({
      since: 20_000,
      until: 20_000 + ASSUMED_MS,
    });
    expect(hosts.coldPeriodOf(two, 21_001)?.until).to.equal(21_000 + ASSUMED_MS);
    hosts.applyBatch({ applied: [taken(testHost('one'), 'known')], departed: [] }, 22_000);
    expect(hosts.coldPeriodOf(one, 22_001)).to.equal(undefined);
    const late = testHost('late');
    hosts.applyBatch({ applied: [taken(late, 'new')], departed: [] }, 20_001 + ASSUMED_MS);
    expect(hosts.coldPeriodOf(late, 20_002 + ASSUMED_MS)).to.equal(undefined);
  });

  it('are none where another group is formed and only the heads of groups are received', () => {
    const hosts = coldHosts();
    const membership = { group: 'g', epoch: 1, rank: 0, state: 'open' } as const;
    const [old, next] = [testHost('old', { membership }), testHost('next', { membership })];
    hosts.applyBatch({ applied: [taken(old, 'first')], departed: [] }, 0);
    hosts.applyBatch({ applied: [taken(next, 'new')], departed: [old] }, 1_000);
    expect(hosts.coldPeriodOf(next, 1_001)).to.equal(undefined);
  });

  it('are none long after the same hosts were listed again', () => {
    const hosts = coldHosts();
    const host = testHost('x');
    hosts.applyBatch({ applied: [taken(host, 'first')], departed: [] }, 0);
    hosts.applyBatch({ applied: [], departed: [host] }, 1_000);
    hosts.applyBatch({ applied: [taken(host, 'back')], departed: [] }, 2_000);
    const late = testHost('late');
    hosts.applyBatch({ applied: [taken(late, 'new')], departed: [] }, 3_600_000);
    expect(hosts.coldPeriodOf(late, 3_600_001)).to.equal(undefined);
  });

  it('are none where entries expired during an outage of the store and the same hosts are listed again', () => {
    const hosts = coldHosts();
    const host = testHost('x');
    hosts.applyBatch({ applied: [taken(host, 'first')], departed: [] }, 0);
    hosts.applyBatch({ applied: [], departed: [host] }, 1_000);
    hosts.applyBatch({ applied: [taken(host, 'back')], departed: [] }, 5_000);
    expect(hosts.coldPeriodOf(host, 5_001)).to.equal(undefined);
  });

  it('are those whose evacuation has ended, unless their entry is newer', () => {
    const hosts = coldHosts();
    const host = testHost('x');
    hosts.applyBatch({ applied: [taken(host, 'first')], departed: [] }, 0);
    revision += 1;
    const endRevision = revision;
    hosts.noteEvacuationEnd('a', endRevision, 10_000);
    expect(hosts.coldPeriodOf(host, 10_001)?.until).to.equal(10_000 + ASSUMED_MS);
    expect(hosts.coldPeriodOf(testHost('b', { failureDomain: 'b' }), 10_001)).to.equal(undefined);
    expect(hosts.coldPeriodOf(testHost('not-listed-yet'), 10_001)?.since).to.equal(10_000);
    // Written before the end of the evacuation, but received after it.
    const older = { entry: host, revision: endRevision - 1, standing: 'known' } as const;
    hosts.applyBatch({ applied: [older], departed: [] }, 10_100);
    expect(hosts.coldPeriodOf(host, 10_101)).to.not.equal(undefined);
    hosts.applyBatch({ applied: [taken(host, 'known')], departed: [] }, 10_200);
    expect(hosts.coldPeriodOf(host, 10_201)).to.equal(undefined);
  });

  it('are logged where a failure domain is filled again and its entries do not say that hosts are cold', () => {
    const lines: string[] = [];
    const hosts = coldHosts(logTo(lines));
    const old = testHost('old');
    hosts.applyBatch({ applied: [taken(old, 'first')], departed: [] }, 0);
    hosts.applyBatch({ applied: [], departed: [old] }, 1_000);
    hosts.applyBatch({ applied: [taken(testHost('new'), 'new')], departed: [] }, 9_000);
    expect(lines).to.have.length(1);
  });

  it('are logged in one line for a whole failure domain', () => {
    const lines: string[] = [];
    const hosts = coldHosts(logTo(lines));
    const domainHosts = Array.from({ length: 57 }, (_, index) =>
      testHost(`x${index}`, { coldLeftMs: 3_000 }),
    );
    for (const [index, entry] of domainHosts.entries()) {
      hosts.applyBatch({ applied: [taken(entry, 'new')], departed: [] }, 10 * index);
      hosts.applyBatch({ applied: [taken(entry, 'known')], departed: [] }, 1_000 + 10 * index);
    }
    expect(lines).to.have.length(1);
    expect(lines[0]).to.contain('cold hosts arrived').and.to.contain('"failureDomain":"a"');
  });
});
