/** Guards against sends of a request that is quarantined, or that is quarantined while it waits or runs. */
import type { ServerResponse } from 'node:http';

import { expect } from 'chai';

import type { Target } from '../routing/target-chooser.js';
import { relayServices, requestContext, TestUpstreamHost } from '../testing/relay.js';
import { PlainRelay } from './plain-relay.js';
import type { RelayServices } from './relay-services.js';
import type { RequestContext } from './request-context.js';
import { StreamRelay } from './stream-relay.js';

const HEAD = { 'x-request-id': 'r', 'x-stamp': 's' };
const STREAM = { kind: 'stream', resumable: true, gapTargetMs: 100, objectiveMs: 200 } as const;

function sendsOneEvent(response: ServerResponse): void {
  response.writeHead(200, HEAD);
  response.end('id: 1\ndata: 1\n\n');
}

function neverCompletes(response: ServerResponse): void {
  response.writeHead(200, HEAD);
  response.flushHeaders();
}

describe('a request in quarantine', () => {
  const hosts: TestUpstreamHost[] = [];
  let isQuarantined: boolean;
  let quarantineRun: (() => void) | undefined;

  beforeEach(() => {
    isQuarantined = true;
    quarantineRun = undefined;
  });

  afterEach(() => {
    hosts.splice(0).forEach(host => {
      host.close();
    });
  });

  async function servicesTo(
    answer: (response: ServerResponse) => void,
    isTrialGranted = false,
  ): Promise<RelayServices> {
    const host = new TestUpstreamHost(answer);
    hosts.push(host);
    const target: Target = await host.listen('h');
    const services = relayServices(() => target);
    Object.assign(services.quarantine, {
      claimTrial: () => Promise.resolve(isTrialGranted),
      cancelWhenQuarantined: (_context: RequestContext, onVerdict: () => void) => {
        quarantineRun = onVerdict;
        return () => undefined;
      },
    });
    return services;
  }

  function contextOf(change = {}): ReturnType<typeof requestContext> {
    const base = requestContext('r', change);
    return { ...base, context: { ...base.context, isQuarantined: () => isQuarantined } };
  }

  it('is sent to no host, and is refused as not run', async () => {
    for (const change of [STREAM, {}]) {
      const services = await servicesTo(sendsOneEvent);
      const { context, answer } = contextOf(change);
      const Relay = context.route.kind === 'stream' ? StreamRelay : PlainRelay;
      await new Relay(context, services).run();
      expect(answer).to.deep.equal({ status: 503, body: '{"reason":"quarantined"}' });
      expect(hosts.at(-1)?.receivedIds).to.deep.equal([]);
    }
  });

  it('runs once as a trial', async () => {
    const services = await servicesTo(sendsOneEvent, true);
    const { context, answer } = contextOf(STREAM);
    await new StreamRelay(context, services).run();
    expect(answer.status).to.equal(200);
    expect(hosts[0]?.receivedIds).to.deep.equal(['r']);
  });

  it('is not sent again after a trial that crashed its host', async () => {
    const services = await servicesTo(response => {
      response.destroy();
    }, true);
    const { context, answer } = contextOf(STREAM);
    await new StreamRelay(context, services).run();
    expect(answer).to.deep.equal({ status: 502, body: '{"reason":"quarantined"}' });
    expect(hosts[0]?.receivedIds).to.deep.equal(['r']);
  });

  it('is cancelled if it is quarantined during a run, and not refused as not run', async () => {
    for (const change of [STREAM, {}]) {
      isQuarantined = false;
      const services = await servicesTo(neverCompletes);
      const { context, answer } = contextOf(change);
      const Relay = context.route.kind === 'stream' ? StreamRelay : PlainRelay;
      const run = new Relay(context, services).run();
      await new Promise(resolve => setTimeout(resolve, 50));
      isQuarantined = true;
      quarantineRun?.();
      await run;
      expect(answer).to.deep.equal({ status: 502, body: '{"reason":"quarantined"}' });
      expect(hosts.at(-1)?.receivedIds).to.deep.equal(['r']);
    }
  });

  it('is not sent if it is quarantined before its turn at a cold host', async () => {
    isQuarantined = false;
    const services = await servicesTo(sendsOneEvent);
    const target = services.chooser.choose({} as never);
    const availableTargets: Target[] = [];
    Object.assign(services.chooser, {
      choose: () => availableTargets[0],
      paceOf: () => ({ nextInMs: 10, intervalMs: 10 }),
      availability: () => ({ statuses: ['cold-limit'], formingMs: undefined }),
    });
    const { context, answer } = contextOf(STREAM);
    const run = new StreamRelay(context, services).run();
    await new Promise(resolve => setTimeout(resolve, 40));
    isQuarantined = true;
    availableTargets.push(target as Target);
    await run;
    expect(answer).to.deep.equal({ status: 503, body: '{"reason":"quarantined"}' });
    expect(hosts[0]?.receivedIds).to.deep.equal([]);
  });
});
