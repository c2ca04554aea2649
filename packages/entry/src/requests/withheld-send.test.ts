/** Guards against the send of a request to a host that became ineligible after it was chosen. */
import type { ServerResponse } from 'node:http';

import { expect } from 'chai';

import type { HostEntry } from '../hosts/host-entry.js';
import type { Target } from '../routing/target-chooser.js';
import { monotonicMs } from '../server/time.js';
import { relayServices, requestContext, TestUpstreamHost } from '../testing/relay.js';
import { PlainRelay } from './plain-relay.js';
import type { RelayServices } from './relay-services.js';
import { StreamRelay } from './stream-relay.js';

const HEAD = { 'x-request-id': 'r', 'x-stamp': 's' };
const RELAYS = [
  { Relay: PlainRelay, route: { kind: 'non-idempotent', resumable: false } },
  { Relay: PlainRelay, route: { kind: 'idempotent', resumable: false } },
  { Relay: StreamRelay, route: { kind: 'stream', resumable: false } },
] as const;

function sendsOneEvent(response: ServerResponse): void {
  response.writeHead(200, HEAD).end('id: 1\ndata: 1\n\n');
}

describe('a request whose chosen host has become ineligible', () => {
  let hosts: TestUpstreamHost[];
  let targets: Target[];

  beforeEach(async () => {
    hosts = [new TestUpstreamHost(sendsOneEvent), new TestUpstreamHost(sendsOneEvent)];
    targets = await Promise.all(hosts.map((host, index) => host.listen(`h${index}`)));
  });

  afterEach(() => {
    hosts.forEach(host => {
      host.close();
    });
  });

  function servicesWithout(ineligible: readonly string[]): RelayServices {
    const queue = [...targets];
    const services = relayServices(() => queue.shift());
    Object.assign(services.eligibility, {
      mayWrite: ({ id }: HostEntry) => !ineligible.includes(id),
    });
    return services;
  }

  for (const { Relay, route } of RELAYS) {
    it(`is sent to another host, without a failure of the first (${route.kind})`, async () => {
      const services = servicesWithout(['h0']);
      const { context, answer } = requestContext('r', { ...route, maxAttempts: 1 });
      await new Relay(context, services).run();
      expect(answer.status).to.equal(200);
      expect(hosts.map(({ receivedIds }) => receivedIds.length)).to.deep.equal([0, 1]);
      expect(services.activities.isAvoided('h0', monotonicMs())).to.equal(false);
    });

    it(`is refused as not run if there is no other host (${route.kind})`, async () => {
      const services = servicesWithout(['h0', 'h1']);
      const { context, answer } = requestContext('r', route);
      await new Relay(context, services).run();
      expect(answer.status).to.equal(503);
      expect(hosts.map(({ receivedIds }) => receivedIds.length)).to.deep.equal([0, 0]);
    });
  }
});
