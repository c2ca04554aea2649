/**
 * Guards against a busy host that is treated as unreachable, and its healthy group as lost. While all connections to
 * the host are in use, a request waits for one and gives up after the greatest connect timeout; this is no failure to
 * connect.
 */
import { expect } from 'chai';

import { MAX_CONNECT_MS } from '../routing/connect-times.js';
import { monotonicMs } from '../server/time.js';
import { relayServices, requestContext, TestUpstreamHost } from '../testing/relay.js';
import { PlainRelay } from './plain-relay.js';
import { StreamRelay } from './stream-relay.js';
import { UpstreamConnections } from './upstream-connections.js';

const HEAD = { 'x-request-id': 'r', 'x-stamp': 's' };
const BUSY_MS = MAX_CONNECT_MS + 300;
const RELAYS = [
  { Relay: PlainRelay, route: { kind: 'idempotent', resumable: false, objectiveMs: 5_000 } },
  { Relay: StreamRelay, route: { kind: 'stream', resumable: true, objectiveMs: 5_000 } },
] as const;

describe('a host whose connections are all in use', () => {
  for (const { Relay, route } of RELAYS) {
    it(`receives no further ${route.kind} request, and is not treated as unreachable`, async () => {
      const busy = new TestUpstreamHost(response => {
        setTimeout(() => response.writeHead(200, HEAD).end('id: 1\ndata: 1\n\n'), BUSY_MS);
      });
      const other = new TestUpstreamHost(response => {
        response.writeHead(200, HEAD).end('id: 1\ndata: 1\n\n');
      });
      const busyTarget = await busy.listen('h0');
      const targets = [busyTarget, busyTarget, await other.listen('h1')];
      const services = relayServices(() => targets.shift());
      const connections = new UpstreamConnections(1);
      let suspicions = 0;
      Object.assign(services, {
        connectionsOf: () => connections,
        suspect: () => (suspicions += 1),
      });
      const first = requestContext('r', { ...route, maxAttempts: 2 });
      const second = requestContext('r', { ...route, maxAttempts: 2 });
      await Promise.all([
        new Relay(first.context, services).run(),
        new Relay(second.context, services).run(),
      ]);
      expect([first.answer.status, second.answer.status]).to.deep.equal([200, 200]);
      expect([busy.receivedIds.length, other.receivedIds.length]).to.deep.equal([1, 1]);
      expect(services.activities.isAvoided('h0', monotonicMs())).to.equal(false);
      expect(suspicions).to.equal(0);
      connections.destroy();
      busy.close();
      other.close();
    });
  }
});
