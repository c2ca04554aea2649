import type { AddressInfo } from 'node:net';
import { createServer } from 'node:net';

import { expect } from 'chai';

import { silentLog } from '../server/log.js';
import { Counters } from '../server/metrics.js';
import { NO_STORE } from '../testing/no-store.js';
import type { Member } from './member.js';
import type { SuspectRequest } from './peer-messages.js';
import type { PeersOptions } from './peers.js';
import { Peers } from './peers.js';

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
    store: NO_STORE,
    watchOf: () => undefined,
    ownLoads: () => [],
    ownWork: () => [],
    orderGiver: () => undefined,
    suspected: () => undefined,
    log: silentLog(),
    counters: new Counters(),
    ...change,
  });
}

describe('suspicions between peers', () => {
  it('reach the order giver by the followed host, whoever gave orders before', async () => {
    const first = { name: 'first', address: await freeAddress(), failureDomain: 'a', power: 2 };
    const self = { name: 'self', address: await freeAddress(), failureDomain: 'a', power: 1 };
    const gone = { name: 'gone', address: await freeAddress(), failureDomain: 'a', power: 0.5 };
    const heard: SuspectRequest[] = [];
    const giver = peersOf(first, {
      orderGiver: () => first.name,
      suspected: request => heard.push(request),
    });
    const follower = peersOf(self, { orderGiver: () => gone.name });
    const objects = [first, self, gone].map(value => ({ name: value.name, revision: 1, value }));
    follower.membership.observer.listed({ objects, revision: 1 });
    await giver.start();
    await follower.start();
    follower.readers.choose();
    follower.suspect('lm', 'g1');
    await new Promise(resolve => setTimeout(resolve, 200));
    expect(heard.map(({ service, group }) => `${service} ${group}`)).to.deep.equal(['lm g1']);
    follower.end();
    giver.end();
  });
});

describe('candidates for the lease', () => {
  it('are the first hosts of each failure domain, whomever they follow', async () => {
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
      return peers.mayLead;
    });
    expect(leading.map(({ name }) => name)).to.deep.equal(['a1', 'b1']);
  });
});
