import type { AddressInfo } from 'node:net';
import { createServer } from 'node:net';

import { expect } from 'chai';

import { CrashEvidence } from '../quarantine/crash-evidence.js';
import { silentLog } from '../server/log.js';
import { Counters } from '../server/metrics.js';
import { monotonicMs } from '../server/time.js';
import { KindCache } from '../store/kind-cache.js';
import { OBJECT_KINDS } from '../store/object-store.js';
import type { WatchedKind } from '../store/watched-kind.js';
import { REFUSING_STORE } from '../testing/refusing-store.js';
import type { Member } from './member.js';
import type { SuspectRequest } from './peer-messages.js';
import type { PeersOptions } from './peers.js';
import { Peers } from './peers.js';

const GROUP = { target: 'g1', targetHost: 'h1', targetDomain: 'b', isUnreachable: true } as const;

function freeAddress(): Promise<string> {
  return new Promise(resolve => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => {
        resolve(`127.0.0.1:${port}`);
      });
    });
  });
}

function peersOf(self: Member, change: Partial<PeersOptions>): Peers {
  return new Peers({
    self,
    seeds: [],
    key: '',
    store: REFUSING_STORE,
    watchOf: () => undefined,
    ownLoads: () => [],
    ownWork: () => [],
    leaseHolder: () => undefined,
    suspicionReceived: () => undefined,
    hostUnreachable: () => undefined,
    groupEjected: () => undefined,
    runReports: new CrashEvidence(),
    limitReports: { sequence: 0, since: () => [] },
    runReportsReceived: () => undefined,
    limitReportsReceived: () => false,
    leavingHosts: { sequence: 0, since: () => [] },
    leavingHostsReceived: () => undefined,
    canSendOrders: () => true,
    forwardingStatus: () => Promise.resolve({ port: 0, accepts: false, reached: [], load: 0 }),
    instance: self.name,
    isRoutable: () => true,
    lackingGroups: () => [],
    log: silentLog(),
    counters: new Counters(),
    ...change,
  });
}

describe('suspicions between peers', () => {
  it('reach the lease holder through the followed host when the known lease holder is outdated', async () => {
    const first = { name: 'first', address: await freeAddress(), failureDomain: 'a', power: 2 };
    const self = { name: 'self', address: await freeAddress(), failureDomain: 'a', power: 1 };
    const formerHolder = {
      name: 'formerHolder',
      address: await freeAddress(),
      failureDomain: 'a',
      power: 0.5,
    };
    const received: SuspectRequest[] = [];
    const holder = peersOf(first, {
      leaseHolder: () => first.name,
      suspicionReceived: request => received.push(request),
    });
    const follower = peersOf(self, { leaseHolder: () => formerHolder.name });
    const objects = [first, self, formerHolder].map(value => ({
      name: value.name,
      revision: 1,
      value,
    }));
    follower.membership.observer.listed({ objects, revision: 1 });
    await Promise.all([holder.listen(), follower.listen()]);
    holder.start();
    follower.start();
    follower.readers.choose();
    follower.suspect('lm', GROUP);
    await new Promise(resolve => setTimeout(resolve, 200));
    expect(received.map(({ service, report }) => `${service} ${report.target}`)).to.deep.equal([
      'lm g1',
    ]);
    follower.end();
    holder.end();
  });
});

describe('outliers between peers', () => {
  it('reach a waiting follower at once when two other hosts have observed them', async () => {
    const members = await Promise.all(
      ['e1', 'e2', 'e3', 'e4'].map(async (name, index) => ({
        name,
        address: await freeAddress(),
        failureDomain: 'a',
        power: 4 - index,
      })),
    );
    const objects = members.map(value => ({ name: value.name, revision: 1, value }));
    const cache = new KindCache();
    cache.applyList({ objects: [], revision: 5 });
    const watch = { cache, isFresh: true, view: 'full' } as WatchedKind;
    const unreachable: string[] = [];
    const all = members.map(self =>
      peersOf(self, {
        watchOf: () => watch,
        hostUnreachable: (domain, host) => unreachable.push(`${self.name}: ${domain} ${host}`),
      }),
    );
    await Promise.all(all.map(peers => peers.listen()));
    all.forEach(peers => {
      peers.start();
    });
    all.forEach(peers => {
      peers.membership.observer.listed({ objects, revision: 1 });
    });
    const [, second, third, fourth] = all as [Peers, Peers, Peers, Peers];
    const startedAt = monotonicMs();
    const waiting = fourth.readers.choose().read(OBJECT_KINDS.hosts, 5, 2_000, 'full');
    await new Promise(resolve => setTimeout(resolve, 100));
    second.suspect('lm', GROUP);
    third.suspect('lm', GROUP);
    await waiting;
    expect(monotonicMs() - startedAt).to.be.below(1_000);
    expect(fourth.outliers.verdict('g1', 'b', 'a', monotonicMs())?.reporters).to.equal(2);
    expect(unreachable).to.include('e4: b h1');
    all.forEach(peers => {
      peers.end();
    });
  });
});

describe('the view of hosts that an entry host needs', () => {
  it('is full on the first hosts of a failure domain and the lease holder, and routing on others', async () => {
    const members = await Promise.all(
      Array.from({ length: 5 }, async (_, index) => ({
        name: `e${index}`,
        address: await freeAddress(),
        failureDomain: 'a',
        power: 5 - index,
      })),
    );
    const objects = members.map(value => ({ name: value.name, revision: 1, value }));
    const views = (orderGiver: string): readonly string[] =>
      members.map(self => {
        const peers = peersOf(self, { leaseHolder: () => orderGiver });
        peers.membership.observer.listed({ objects, revision: 1 });
        return peers.hostsView;
      });
    expect(views('e0')).to.deep.equal(['full', 'full', 'full', 'routing', 'routing']);
    expect(views('e4')).to.deep.equal(['full', 'full', 'full', 'routing', 'full']);
  });
});

describe('candidates for the lease', () => {
  it('are the first hosts of each failure domain, whichever host they follow', async () => {
    const members = await Promise.all(
      ['a1', 'a2', 'b1', 'b2'].map(async name => ({
        name,
        address: await freeAddress(),
        failureDomain: name.slice(0, 1),
        power: 1,
      })),
    );
    const objects = members.map(value => ({ name: value.name, revision: 1, value }));
    const leading = members.filter(self => {
      const peers = peersOf(self, {});
      peers.membership.observer.listed({ objects, revision: 1 });
      return peers.isLeaseCandidate;
    });
    expect(leading.map(({ name }) => name)).to.deep.equal(['a1', 'b1']);
  });
});
