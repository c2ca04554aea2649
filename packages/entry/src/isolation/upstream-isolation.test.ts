import { expect } from 'chai';

import type { HostEntry } from '../hosts/host-entry.js';
import type { ProbeOutcome } from '../quarantine/host-probe.js';
import { silentLog } from '../server/log.js';
import { Counters } from '../server/metrics.js';
import { sleep } from '../server/time.js';
import { ServiceContacts } from './service-contacts.js';
import { probeTargets } from './service-probe.js';
import { UpstreamIsolation } from './upstream-isolation.js';

/** Longer than a probe with stand-ins takes, in milliseconds. */
const PROBED_MS = 60;
/** Time after which several silent hosts are probed, with some margin, in milliseconds. */
const SILENCE_NOTICED_MS = 400;
/** Connections of one series of probes of two hosts in a second. */
const MAX_PROBES_PER_S = 10;
/** Time within which a held report is sent or dropped, in milliseconds. */
const REPORT_DECIDED_MS = 250;

function hostOf(id: string, failureDomain: string, rank?: number): HostEntry {
  const membership =
    rank === undefined ? undefined : { group: 'g', epoch: 1, rank, state: 'open' as const };
  return { id, service: 's', failureDomain, membership, ip: '127.0.0.1', port: 1 } as HostEntry;
}

const A = hostOf('a', 'north');
const B = hostOf('b', 'south');

describe('isolation from the hosts of a service', () => {
  let contacts: ServiceContacts;
  let isolation: UpstreamIsolation;
  let outcomes: Map<string, ProbeOutcome>;
  let probes: number;

  beforeEach(() => {
    contacts = new ServiceContacts();
    outcomes = new Map();
    probes = 0;
    isolation = new UpstreamIsolation({
      contacts,
      hostsOf: () => [A, B],
      probe: host => {
        probes += 1;
        return Promise.resolve(outcomes.get(host.id) ?? 'alive');
      },
      log: silentLog(),
      counters: new Counters(),
    });
  });

  afterEach(() => {
    isolation.stop();
  });

  function cutAll(outcome: ProbeOutcome = 'unknown'): void {
    outcomes.set('a', outcome);
    outcomes.set('b', outcome);
  }

  for (const outcome of ['unknown', 'ended'] as const) {
    it(`is found after a failed connection if no host accepts one (probes: ${outcome})`, async () => {
      cutAll(outcome);
      contacts.noteUnreachable(A);
      await sleep(PROBED_MS);
      expect(isolation.reachOf('s')).to.equal('isolated');
      expect(isolation.admit('s')).to.equal(false);
    });
  }

  it('is not concluded from the failure of one host while another one accepts connections', async () => {
    outcomes.set('a', 'unknown');
    contacts.noteUnreachable(A);
    await sleep(PROBED_MS);
    expect(isolation.reachOf('s')).to.equal('connected');
  });

  it('is not concluded while data arrives, although new connections are refused', async () => {
    cutAll('ended');
    contacts.noteUnreachable(A);
    contacts.noteData(B);
    await sleep(PROBED_MS);
    expect(isolation.reachOf('s')).to.equal('connected');
  });

  it('is found by the silence of all hosts that have requests', async () => {
    contacts.noteSent(A);
    contacts.noteSent(B);
    cutAll();
    await sleep(SILENCE_NOTICED_MS);
    expect(isolation.reachOf('s')).to.equal('isolated');
  });

  it('is not probed for while one of several hosts with requests is silent', async () => {
    contacts.noteSent(A);
    contacts.noteSent(B);
    for (let round = 0; round < 10; round++) {
      await sleep(SILENCE_NOTICED_MS / 8);
      contacts.noteData(B);
    }
    expect(probes).to.equal(0);
  });

  it('ends with few requests until one of them is answered', async () => {
    cutAll();
    contacts.noteUnreachable(A);
    await sleep(PROBED_MS);
    outcomes.clear();
    await sleep(SILENCE_NOTICED_MS);
    expect(isolation.reachOf('s')).to.equal('recovering');
    const admitted = [1, 2, 3, 4].map(() => isolation.admit('s'));
    expect(admitted).to.deep.equal([true, false, false, false]);
    contacts.noteData(A);
    expect(isolation.admit('s')).to.equal(true);
    expect(isolation.admit('s')).to.equal(true);
  });

  // Guards against a further series of probes for each connection that fails meanwhile.
  it('is probed for at the same rate, however many connections fail', async () => {
    cutAll();
    for (let failure = 0; failure < 20; failure++) {
      contacts.noteUnreachable(A);
      await sleep(10);
    }
    const before = probes;
    await sleep(1_000);
    expect(probes - before).to.be.at.most(MAX_PROBES_PER_S);
  });

  // Guards against sound groups that all entry hosts avoid, because of the reports of one that is cut off.
  it('is no reason to report hosts', async () => {
    cutAll();
    let reports = 0;
    isolation.reportWhenReached(A, () => (reports += 1));
    await sleep(REPORT_DECIDED_MS);
    expect(reports).to.equal(0);
  });

  it('is excluded for a report by data from another host', () => {
    let reports = 0;
    isolation.reportWhenReached(A, () => (reports += 1));
    contacts.noteData(A);
    expect(reports).to.equal(0);
    contacts.noteData(B);
    expect(reports).to.equal(1);
  });

  it('is excluded for a report by a probe if no other host has requests', async () => {
    outcomes.set('a', 'unknown');
    let reports = 0;
    isolation.reportWhenReached(A, () => (reports += 1));
    await sleep(REPORT_DECIDED_MS);
    expect(reports).to.equal(1);
  });

  // Guards against requests that are quarantined because their entry host's connections were reset.
  it('is no evidence that the process of a host has ended', async () => {
    cutAll('ended');
    expect(await isolation.probeReported(A)).to.equal('unknown');
    outcomes.set('b', 'alive');
    expect(await isolation.probeReported(A)).to.equal('ended');
  });
});

describe('probed hosts', () => {
  it('are of different failure domains, and heads only if there are no other hosts', () => {
    const hosts = [
      hostOf('head', 'north', 0),
      hostOf('member', 'north', 1),
      hostOf('south', 'south', 1),
      hostOf('east', 'east', 0),
    ];
    for (let draw = 0; draw < 20; draw++) {
      const ids = probeTargets(hosts).map(({ id }) => id);
      expect(ids).to.have.members(['member', 'south', 'east']);
    }
  });
});
