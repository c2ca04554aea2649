/** Sends of a request that is in quarantine, or comes into it. */
import type { ServerResponse } from 'node:http';

import { expect } from 'chai';

import type { Target } from '../routing/target-chooser.js';
import { relayServices, requestContext, UpstreamStandIn } from '../testing/relay.js';
import { PlainRelay } from './plain-relay.js';
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';
import { StreamRelay } from './stream-relay.js';

const HEAD = { 'x-request-id': 'r', 'x-stamp': 's' };
const STREAM = { kind: 'stream', resumable: true, gapTargetMs: 100, objectiveMs: 200 } as const;

function streams(response: ServerResponse): void {
  response.writeHead(200, HEAD);
  response.end('id: 1\ndata: 1\n\n');
}

function neverEnds(response: ServerResponse): void {
  response.writeHead(200, HEAD);
  response.flushHeaders();
}

describe('a request in quarantine', () => {
  const hosts: UpstreamStandIn[] = [];
  let isQuarantined: boolean;
  let cancel: (() => void) | undefined;

  beforeEach(() => {
    isQuarantined = true;
    cancel = undefined;
  });

  afterEach(() => {
    hosts.splice(0).forEach(host => {
      host.close();
    });
  });

  async function servicesTo(
    answer: (response: ServerResponse) => void,
    mayTry = false,
  ): Promise<RelayServices> {
    const host = new UpstreamStandIn(answer);
    hosts.push(host);
    const target: Target = await host.listen('h');
    const services = relayServices(() => target);
    Object.assign(services.quarantine, {
      claimTrial: () => Promise.resolve(mayTry),
      guard: (_context: RequestContext, onVerdict: () => void) => {
        cancel = onVerdict;
        return () => undefined;
      },
    });
    return services;
  }

  function contextOf(change = {}): ReturnType<typeof requestContext> {
    const made = requestContext('r', change);
    return { ...made, context: { ...made.context, isQuarantined: () => isQuarantined } };
  }

  it('reaches no host, and is refused as one that has not run', async () => {
    for (const change of [STREAM, {}]) {
      const services = await servicesTo(streams);
      const { context, answer } = contextOf(change);
      const Relay = context.route.kind === 'stream' ? StreamRelay : PlainRelay;
      await new Relay(context, services).run();
      expect(answer).to.deep.equal({ status: 503, body: '{"reason":"quarantined"}' });
      expect(hosts.at(-1)?.seen).to.deep.equal([]);
    }
  });

  it('runs once where it may be tried', async () => {
    const services = await servicesTo(streams, true);
    const { context, answer } = contextOf(STREAM);
    await new StreamRelay(context, services).run();
    expect(answer.status).to.equal(200);
    expect(hosts[0]?.seen).to.deep.equal(['r']);
  });

  it('is not sent on after a trial that has ended its host', async () => {
    const services = await servicesTo(response => {
      response.destroy();
    }, true);
    const { context, answer } = contextOf(STREAM);
    await new StreamRelay(context, services).run();
    expect(answer).to.deep.equal({ status: 502, body: '{"reason":"quarantined"}' });
    expect(hosts[0]?.seen).to.deep.equal(['r']);
  });

  it('is cancelled where it runs when the verdict comes, and not refused as if it had not run', async () => {
    for (const change of [STREAM, {}]) {
      isQuarantined = false;
      const services = await servicesTo(neverEnds);
      const { context, answer } = contextOf(change);
      const Relay = context.route.kind === 'stream' ? StreamRelay : PlainRelay;
      const run = new Relay(context, services).run();
      await new Promise(resolve => setTimeout(resolve, 50));
      isQuarantined = true;
      cancel?.();
      await run;
      expect(answer).to.deep.equal({ status: 502, body: '{"reason":"quarantined"}' });
      expect(hosts.at(-1)?.seen).to.deep.equal(['r']);
    }
  });

  it('is not sent when its turn at a cold host comes after the verdict', async () => {
    isQuarantined = false;
    const services = await servicesTo(streams);
    const target = services.chooser.choose({} as never);
    const turns: Target[] = [];
    Object.assign(services.chooser, {
      choose: () => turns[0],
      paceOf: () => ({ nextInMs: 10, intervalMs: 10 }),
      outlook: () => ({ standings: ['cold-limit'], formingMs: undefined }),
    });
    const { context, answer } = contextOf(STREAM);
    const run = new StreamRelay(context, services).run();
    await new Promise(resolve => setTimeout(resolve, 40));
    isQuarantined = true;
    turns.push(target as Target);
    await run;
    expect(answer).to.deep.equal({ status: 503, body: '{"reason":"quarantined"}' });
    expect(hosts[0]?.seen).to.deep.equal([]);
  });
});
